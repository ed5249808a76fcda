//! A pass over the queue, slice by slice.

use crate::core::dispatch::leader;
use crate::core::dispatch::order;
use crate::core::dispatch::order::Timestamp;
use crate::core::dispatch::plan;
use crate::core::dispatch::queue;
use crate::core::dispatch::window;
use crate::core::workflow::command;
use crate::core::workflow::registry;

/// The most steps that a slice of a pass looks at in vain. Between two slices the process does its
/// other work, such as the heartbeats of the replicated log.
const MAX_SLICE_LOOKS: usize = 64;

/// The most tasks that a slice of a pass places. They are one entry of the log.
const MAX_SLICE_PLACEMENTS: usize = 1024;

/// The outcome of a look at a step.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Look {
    /// All waiting tasks of the step are placed.
    Placed,
    /// Tasks of the step were placed, and the limits that the others met don't hold for another
    /// occurrence.
    Limited,
    /// No more tasks that need the same can be placed.
    Exhausted,
    /// Nothing could be placed.
    Vain,
}

impl leader::Dispatch {
    /// Performs a slice of a pass: places waiting steps in queue order, and preempts lower ranks for
    /// urgent ones. Returns whether the pass is complete.
    pub(super) fn place_slice(&mut self, registry: &registry::Registry, now: Timestamp) -> bool {
        let mut queue = std::mem::take(&mut self.queue);
        queue.refresh(registry, now);
        let mut window = std::mem::take(&mut self.window);
        if !self.in_pass {
            window = window::Window::after(&window);
        }
        let mut pass = plan::Pass::default();
        let mut placements = Vec::new();
        let last_look = window.vain_looks() + MAX_SLICE_LOOKS;
        self.in_pass = false;
        while let Some(waiting) = window.next(&queue) {
            let look = self.place_next(registry, &queue, &mut pass, waiting, &mut placements, now);
            match look {
                Look::Vain => window.record_vain(),
                Look::Exhausted => {}
                Look::Placed | Look::Limited => {
                    let successor = queue.successor(registry, &waiting);
                    successor.into_iter().for_each(|successor| window.add_successor(successor));
                }
            }
            if window.vain_looks() >= last_look || placements.len() >= MAX_SLICE_PLACEMENTS {
                self.in_pass = true;
                break;
            }
        }
        (self.queue, self.window) = (queue, window);
        if !placements.is_empty() {
            self.effects.push(order::Effect::Propose(command::Command::Place(placements)));
        }
        !self.in_pass
    }

    /// Places tasks of the next waiting step, and adds the placements.
    fn place_next(
        &mut self,
        registry: &registry::Registry,
        queue: &queue::Queue,
        pass: &mut plan::Pass,
        waiting: queue::WaitingStep,
        placements: &mut Vec<command::Placement>,
        now: Timestamp,
    ) -> Look {
        let first = waiting.first_task;
        let Some(job) = registry.jobs.get(&first.job) else { return Look::Vain };
        let indices = self.waiting_indices(job, first);
        if indices.is_empty() {
            // The placements of all tasks are proposed.
            return Look::Placed;
        }
        self.wait_times.begin(&waiting, now.tick);
        let step = job.step(first.step);
        if step.gang && indices.len() < step.count as usize {
            return Look::Vain;
        }
        let demand = self.demand(pass, registry, job, &waiting, now);
        let turn = plan::Turn { job, ranks: queue.ranks(), waiting, demand, share: usize::MAX };
        let limit = self.start_limit(pass, turn, queue.is_single_job());
        let allowed = &indices[..limit.min(indices.len())];
        let turn = plan::Turn { share: self.start_limit(pass, turn, false), ..turn };
        let placed = self.place_step(registry, pass, turn, allowed, now);
        self.record_placed(&turn, placed.len(), indices.len(), now);
        let look = match placed.len() {
            count if count == indices.len() => Look::Placed,
            0 => Look::Vain,
            count if count == allowed.len() || step.worker_limit > 0 => Look::Limited,
            _ => Look::Exhausted,
        };
        if look == Look::Placed {
            self.wait_times.end(first);
        }
        placements.extend(placed);
        look
    }

    /// Records how many tasks of a step were placed, and reports a long wait of the others.
    fn record_placed(
        &mut self,
        turn: &plan::Turn<'_>,
        placed: usize,
        count: usize,
        now: Timestamp,
    ) {
        self.wait_times.record_placed(turn.waiting.rank, placed);
        if placed > 0 {
            let waited = turn.demand.waited;
            self.effects.push(order::Effect::StepWaited(turn.waiting.rank, waited));
        }
        let long_wait = (placed < count)
            .then(|| self.wait_times.long_wait(&turn.waiting, count - placed, now.tick));
        self.effects.extend(long_wait.flatten().map(order::Effect::LongWait));
    }
}
