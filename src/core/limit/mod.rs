//! Admission, fair shares, shedding, retry budgets and the health of workers.
