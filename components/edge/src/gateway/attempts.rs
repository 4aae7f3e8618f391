//! The attempts of one request that are in progress.
//!
//! More than one is in progress while a runner is silent: the request is sent to another runner, and the first
//! response that goes on serves the caller.

use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::Poll;

use errors::Code;
use gateway::{AttemptOutcome, Event, NextStep, RunnerTarget, ServiceState, StalledEvent};
use http::Response;
use telemetry::MeasuredDuration;

use super::answer::AnswerBody;
use super::attempt::{Attempt, AttemptResult, AttemptState, RunnerAnswer};
use super::core::{Core, RequestHandle};
use super::request::RequestContext;

/// The attempts of a request.
pub struct Attempts {
    core: Core,
    context: Rc<RequestContext>,
    handle: RequestHandle,
    in_progress: Vec<AttemptInProgress>,
    /// How many were started.
    started: u32,
    /// Age of the request when the attempt was started whose answer was accepted last, in milliseconds.
    accepted_ms: u64,
    /// Whether an attempt that has ended may have run the request.
    may_have_run: bool,
    /// The error answer of the runner whose attempt ended last.
    error_answer: Option<Response<AnswerBody>>,
}

struct AttemptInProgress {
    target: Rc<RunnerTarget>,
    state: Rc<AttemptState>,
    /// Age of the request when the attempt was started, in milliseconds.
    started_ms: u64,
    result: Pin<Box<dyn Future<Output = AttemptResult>>>,
}

/// An attempt whose runner answers.
pub struct AnsweredAttempt {
    /// The runner.
    pub target: Rc<RunnerTarget>,
    /// Its answer.
    pub answer: RunnerAnswer,
    state: Rc<AttemptState>,
    started_ms: u64,
}

/// What the attempts of a request lead to.
// It is moved once per answer; a box would cost more than it saves.
#[allow(clippy::large_enum_variant)]
pub enum AttemptsResult {
    /// A runner answers.
    Answered(AnsweredAttempt),
    /// The request did not run and never will.
    Refused {
        /// The reason.
        code: Code,
        /// When the caller may come back, in milliseconds.
        retry_after_ms: u64,
        /// The state of the runners.
        service_state: ServiceState,
    },
    /// No attempt is left, and the request may have run.
    GaveUp(Code),
}

// It is moved once per attempt; a box would cost more than it saves.
#[allow(clippy::large_enum_variant)]
enum AttemptsEvent {
    Step(NextStep),
    /// The attempt at this index has ended.
    Ended(usize, AttemptResult),
}

impl Attempts {
    /// No attempts yet of a request that is registered with the reducer.
    pub fn new(core: Core, context: Rc<RequestContext>, handle: RequestHandle) -> Self {
        Self {
            core,
            context,
            handle,
            in_progress: Vec::new(),
            started: 0,
            accepted_ms: 0,
            may_have_run: false,
            error_answer: None,
        }
    }

    /// Makes attempts as the reducer decides, until one is answered or none is left. `last_event` is the event
    /// after which a stream resumes. Dropping the returned future keeps the attempts.
    pub async fn next(&mut self, last_event: Option<&str>) -> AttemptsResult {
        loop {
            match self.next_event().await {
                AttemptsEvent::Step(NextStep::Send(target)) => self.start(target, last_event),
                AttemptsEvent::Step(NextStep::Refuse { code, retry_after_ms, service_state }) => {
                    return AttemptsResult::Refused { code, retry_after_ms, service_state };
                }
                AttemptsEvent::Step(NextStep::GiveUp(code)) => return AttemptsResult::GaveUp(code),
                AttemptsEvent::Ended(index, result) => {
                    let AttemptInProgress { target, state, started_ms, .. } =
                        self.in_progress.remove(index);
                    match result {
                        AttemptResult::Answer(answer) => {
                            let answered = AnsweredAttempt { target, answer, state, started_ms };
                            return AttemptsResult::Answered(answered);
                        }
                        AttemptResult::Failure { outcome, answer } => {
                            self.error_answer = answer;
                            self.fail(&target, &state, started_ms, outcome);
                        }
                    }
                }
            }
        }
    }

    async fn next_event(&mut self) -> AttemptsEvent {
        let Self { handle, in_progress, .. } = self;
        let mut step = pin!(handle.next_step());
        poll_fn(|cx| {
            for (index, attempt) in in_progress.iter_mut().enumerate() {
                if let Poll::Ready(result) = attempt.result.as_mut().poll(cx) {
                    return Poll::Ready(AttemptsEvent::Ended(index, result));
                }
            }
            match step.as_mut().poll(cx) {
                Poll::Ready(Some(step)) => Poll::Ready(AttemptsEvent::Step(step)),
                Poll::Ready(None) | Poll::Pending => Poll::Pending,
            }
        })
        .await
    }

    fn start(&mut self, target: RunnerTarget, last_event: Option<&str>) {
        let started_ms = self.context.trace.age_ms();
        if self.started == 0 {
            self.core.metrics.record_duration(MeasuredDuration::QueueWait, started_ms);
        }
        self.started += 1;
        self.context.trace.add_choice(&target, self.started);
        let (target, state) = (Rc::new(target), Rc::<AttemptState>::default());
        let attempt = Attempt {
            core: self.core.clone(),
            context: self.context.clone(),
            key: self.handle.key,
            target: target.clone(),
            state: state.clone(),
        };
        let result = Box::pin(attempt.run(last_event.map(str::to_owned)));
        self.in_progress.push(AttemptInProgress { target, state, started_ms, result });
    }

    fn fail(
        &mut self,
        target: &RunnerTarget,
        state: &AttemptState,
        started_ms: u64,
        outcome: AttemptOutcome,
    ) {
        self.may_have_run |= !outcome.is_not_run();
        let took_ms = self.context.trace.age_ms() - started_ms;
        self.context.trace.add_failure(target, outcome, took_ms);
        self.end(target, state.is_stalled(), outcome);
    }

    /// Tells the reducer that an attempt has ended.
    pub fn end(&self, target: &RunnerTarget, is_stalled: bool, outcome: AttemptOutcome) {
        let key = self.handle.key;
        self.core.dispatch(if is_stalled {
            Event::StalledAttempt(key, target.id.clone(), StalledEvent::Ended(outcome))
        } else {
            Event::Attempt(key, outcome)
        });
    }

    /// Tells the reducer that the runner of the current attempt is silent.
    pub fn stall(&self) {
        self.core.dispatch(Event::Stalled(self.handle.key));
    }

    /// Counts an answer that cannot be forwarded as a failure.
    pub fn reject(&mut self, answered: AnsweredAttempt) {
        let AnsweredAttempt { target, state, started_ms, .. } = answered;
        self.fail(&target, &state, started_ms, AttemptOutcome::Failed);
    }

    /// Counts an answer that was accepted, and of which nothing has reached the caller, as a failure.
    pub fn lose_answer(
        &mut self,
        target: &RunnerTarget,
        is_stalled: bool,
        outcome: AttemptOutcome,
    ) {
        self.may_have_run = true;
        self.error_answer = None;
        self.context.trace.add_failure(target, outcome, self.answer_age_ms());
        self.end(target, is_stalled, outcome);
    }

    /// Time since the attempt was started whose answer was accepted last, in milliseconds.
    pub fn answer_age_ms(&self) -> u64 {
        self.context.trace.age_ms() - self.accepted_ms
    }

    /// Decides for an answer. All other attempts are dropped.
    pub fn accept(&mut self, answered: &AnsweredAttempt) {
        self.accepted_ms = answered.started_ms;
        if answered.state.is_stalled() {
            self.keep(&answered.target);
        } else {
            self.drop_attempts();
            self.core.dispatch(Event::Attempt(self.handle.key, AttemptOutcome::Answered));
        }
    }

    /// Decides for the stalled attempt at a runner, which goes on. All other attempts are dropped.
    pub fn keep(&mut self, target: &RunnerTarget) {
        self.context.trace.add_continuation(target);
        let is_other = |it: &&AttemptInProgress| !it.state.is_stalled();
        let is_other_sent = self.in_progress.iter().filter(is_other).any(|it| it.state.is_sent());
        self.core.dispatch(Event::StalledAttempt(
            self.handle.key,
            target.id.clone(),
            StalledEvent::Continued { is_other_sent },
        ));
        // The reducer may have decided on another attempt before.
        self.handle.discard_step();
        self.drop_attempts();
    }

    /// Drops all attempts, which closes their connections.
    fn drop_attempts(&mut self) {
        for attempt in self.in_progress.drain(..).filter(|it| it.state.is_stalled()) {
            let took_ms = self.context.trace.age_ms() - attempt.started_ms;
            self.context.trace.add_failure(&attempt.target, AttemptOutcome::Lost, took_ms);
        }
    }

    /// Tells the reducer that the answer is complete, and with which outcome.
    pub fn finish(&self, outcome: AttemptOutcome) {
        self.core.dispatch(Event::Attempt(self.handle.key, outcome));
    }

    /// Whether a runner may have received the request and run it.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run || self.in_progress.iter().any(|it| it.state.is_sent())
    }

    /// The error answer of the runner whose attempt ended last, if it sent one.
    pub fn take_error_answer(&mut self) -> Option<Response<AnswerBody>> {
        self.error_answer.take()
    }
}
