//! The status page: HTML without scripts or external resources, with a layout that fits phones.

use std::collections::BTreeMap;
use std::time;

use crate::core::time as core_time;
use crate::entry::hours;

/// The style sheet, which is inlined because the page loads no resources.
const STYLE: &str = "body{font:16px/1.4 sans-serif;margin:0 auto;max-width:48em;padding:0 .6em}\
table{border-collapse:collapse;width:100%}th,td{padding:.25em .4em;text-align:right}\
th:first-child,td:first-child{text-align:left;white-space:nowrap}\
tr{border-bottom:1px solid #ccc}.gap td{text-align:left;background:#fee}\
.late{font-weight:bold}.old{background:#fd8;padding:.5em}.scroll{overflow-x:auto}";

/// The content of the status page.
pub struct Page<'a> {
    /// The rows of each service.
    pub services: &'a BTreeMap<String, Vec<hours::Row>>,
    /// The time that the rows are as of; `None` if this entry never received any.
    pub as_of: Option<core_time::Wall>,
    /// The time since this entry received the rows.
    pub age: time::Duration,
    /// Whether the entry has a session with control.
    pub reachable: bool,
    /// The span of hours that the page shows.
    pub span: hours::Span,
}

/// Renders the page as HTML. Names from tickets are escaped.
pub fn render(page: &Page<'_>) -> String {
    let markup = maud::html! {
        (maud::DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width, initial-scale=1";
                title { "Service status" }
                style { (maud::PreEscaped(STYLE)) }
            }
            body {
                h1 { "Service status" }
                (freshness(page))
                @if page.services.is_empty() {
                    p { "There is no record of any service in this span." }
                }
                @for (service, rows) in page.services {
                    (table(service, rows))
                }
                (links(page.span))
                (legend())
            }
        }
    };
    markup.into_string()
}

fn freshness(page: &Page<'_>) -> maud::Markup {
    let Some(as_of) = page.as_of else {
        return maud::html! {
            p.old { "Nothing has been received from the control hosts yet. The hours are not \
                     shown because they are not known here." }
        };
    };
    let old = !page.reachable || page.age > hours::MAX_FRESH_AGE;
    maud::html! {
        @if old {
            p.old {
                "The control hosts can't be reached now. This is the last copy, "
                (page.age.as_secs()) " seconds old; later changes are not shown."
            }
        }
        p { "As of " (as_of.format_utc()) " UTC. Times are in UTC." }
    }
}

fn table(service: &str, rows: &[hours::Row]) -> maud::Markup {
    maud::html! {
        h2 { (service) }
        div.scroll {
            table {
                tr {
                    th { "Hour" }
                    th { "Promised" }
                    th { "Done" }
                    th { "Late" }
                    th { "Refused" }
                    th { "May have run" }
                }
                @for row in rows {
                    (line(row))
                }
            }
        }
    }
}

fn line(row: &hours::Row) -> maud::Markup {
    let start = row.start.get(..16).unwrap_or(&row.start);
    maud::html! {
        tr {
            td { (start) }
            td { (row.promised) }
            td { (row.done) }
            td.late[row.late > 0] { (row.late) }
            td { (row.refused) }
            td { (row.may_have_run) }
        }
        @for gap in &row.not_recorded {
            tr.gap {
                td colspan="6" {
                    "Not recorded from " (core_time::Wall(gap.from).format_utc())
                    " to " (core_time::Wall(gap.until).format_utc()) ": " (gap.reason)
                }
            }
        }
    }
}

fn links(span: hours::Span) -> maud::Markup {
    let day = 24 * core_time::HOUR.0;
    let earlier = format!("/?from={}&until={}", span.from.0.saturating_sub(day), span.from.0);
    maud::html! {
        p {
            a href=(earlier) { "The 24 hours before" }
            " · "
            a href="/" { "Now" }
        }
    }
}

fn legend() -> maud::Markup {
    maud::html! {
        p {
            "Promised: requests due in the hour. Done: ended in time with the whole answer. \
             Late: not ended in time. Refused: turned away without having run. May have run: \
             nobody can tell whether they ran. Not recorded: a span without a record."
        }
    }
}
