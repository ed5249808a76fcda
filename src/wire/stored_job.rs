//! Workflows as stored in a snapshot.
//!
//! A workflow is stored with the state of each task that is not done, as earlier builds read and write
//! it, unless that takes too much space. Then only the tasks on which something has happened are
//! stored, in an extension at the end of the snapshot that earlier builds don't know.

use bincode::de;
use bincode::de::Decode as _;
use bincode::enc;
use bincode::enc::Encode as _;
use bincode::error;

use crate::core::workflow::command;
use crate::core::workflow::job;
use crate::macros;

/// The most tasks that a snapshot stores one by one, over all workflows.
pub const MAX_LISTED_TASKS: u64 = 65_536;

/// The format of the extension.
const EXTENSION_FORMAT: u8 = 1;

macros::value_types! {
    /// A workflow, stored with the state of each task that is not done.
    pub struct ListedJob(pub job::Job);

    /// The workflows that are stored with the tasks on which something has happened. No byte is
    /// stored if there are none.
    #[derive(Default)]
    pub struct Extension(pub Vec<(u64, job::Job)>);
}

impl ListedJob {
    /// The number of tasks that are stored for a job.
    pub fn listed_tasks(job: &job::Job) -> u64 {
        let steps = job.submission.workflow.steps.iter();
        let tasks: u64 = steps.map(|step| u64::from(step.count)).sum();
        numbers(job).count() as u64 * tasks
    }
}

/// The numbers of the occurrences that are stored, in ascending order.
fn numbers(job: &job::Job) -> impl Iterator<Item = u32> {
    let new = job.is_active().then(|| job.new_occurrences());
    let mut new = new.into_iter().flatten().peekable();
    let mut begun = job.occurrences.keys().copied().peekable();
    std::iter::from_fn(move || match (new.peek(), begun.peek()) {
        (Some(left), Some(right)) if left > right => begun.next(),
        (Some(_), _) => new.next(),
        (None, _) => begun.next(),
    })
}

/// Encodes a length as the codec does for its collections.
fn encode_length<E: enc::Encoder>(
    length: usize,
    encoder: &mut E,
) -> Result<(), error::EncodeError> {
    (length as u64).encode(encoder)
}

impl bincode::Encode for ListedJob {
    fn encode<E: enc::Encoder>(&self, encoder: &mut E) -> Result<(), error::EncodeError> {
        let job = &self.0;
        let steps = &job.submission.workflow.steps;
        job.submission.encode(encoder)?;
        job.accepted.encode(encoder)?;
        job.phase.encode(encoder)?;
        job.ended.encode(encoder)?;
        encode_length(numbers(job).count(), encoder)?;
        for number in numbers(job) {
            number.encode(encoder)?;
            let known = job.occurrences.get(&number);
            encode_length(steps.len(), encoder)?;
            for (step, description) in steps.iter().enumerate() {
                let tasks = known.map(|known| &known.steps[step]);
                encode_length(description.count as usize, encoder)?;
                for index in 0..description.count {
                    let task = tasks.and_then(|tasks| tasks.get(index));
                    task.unwrap_or(&job::NEW_TASK).encode(encoder)?;
                }
            }
        }
        job.finished.encode(encoder)?;
        job.started.encode(encoder)
    }
}

impl<C> bincode::Decode<C> for ListedJob {
    /// Decodes one occurrence at a time, so that a job with many tasks takes no more space than its
    /// state.
    fn decode<D: de::Decoder<Context = C>>(decoder: &mut D) -> Result<Self, error::DecodeError> {
        let submission = command::Submission::decode(decoder)?;
        let counts: Vec<_> = submission.workflow.steps.iter().map(|step| step.count).collect();
        let accepted = u64::decode(decoder)?;
        let mut job = job::Job::new(submission, accepted);
        job.phase = job::Phase::decode(decoder)?;
        job.ended = u64::decode(decoder)?;
        let mut next = 0;
        for _ in 0..u64::decode(decoder)? {
            let number = u32::decode(decoder)?;
            if number < next || !job.has_not_begun(number) {
                return Err(error::DecodeError::Other("an occurrence is out of order"));
            }
            job.restore_done(next, number);
            let occurrence = decode_occurrence(decoder, &counts)?;
            job.restore_occurrence(number, occurrence);
            next = number + 1;
        }
        job.restore_done(next, job.submission.workflow.occurrences());
        job.finished = u32::decode(decoder)?;
        job.started = bool::decode(decoder)?;
        Ok(Self(job))
    }
}

fn decode_occurrence<D: de::Decoder>(
    decoder: &mut D,
    counts: &[u32],
) -> Result<job::Occurrence, error::DecodeError> {
    let expect = |decoder: &mut D, length: u64| match u64::decode(decoder)? == length {
        true => Ok(()),
        false => Err(error::DecodeError::Other("an occurrence differs from its workflow")),
    };
    expect(decoder, counts.len() as u64)?;
    let mut steps = Vec::with_capacity(counts.len());
    for count in counts {
        expect(decoder, u64::from(*count))?;
        let mut tasks = job::Tasks::new(*count);
        for index in 0..*count {
            tasks.restore(index, job::Task::decode(decoder)?);
        }
        steps.push(tasks);
    }
    Ok(job::Occurrence { steps })
}

bincode::impl_borrow_decode!(ListedJob);

impl bincode::Encode for Extension {
    fn encode<E: enc::Encoder>(&self, encoder: &mut E) -> Result<(), error::EncodeError> {
        if self.0.is_empty() {
            return Ok(());
        }
        EXTENSION_FORMAT.encode(encoder)?;
        self.0.encode(encoder)
    }
}

impl<C> bincode::Decode<C> for Extension {
    fn decode<D: de::Decoder<Context = C>>(decoder: &mut D) -> Result<Self, error::DecodeError> {
        match u8::decode(decoder) {
            Ok(EXTENSION_FORMAT) => Vec::decode(decoder).map(Self),
            Ok(_) => Err(error::DecodeError::Other("a later build has written the extension")),
            Err(error::DecodeError::UnexpectedEnd { .. }) => Ok(Self::default()),
            Err(error) => Err(error),
        }
    }
}

bincode::impl_borrow_decode!(Extension);
