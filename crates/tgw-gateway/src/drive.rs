use crate::{
    admission_progress::Progress,
    exchange::{self, OutgoingRequest},
    quarantine,
    shared::Shared,
    telemetry,
    waiting::Client,
};
use std::{rc::Rc, time::Duration};
use tgw_clock::Millis;
use tgw_forward::{
    Plan,
    plan::{self, Answer, Event, SendOrder},
};
use tokio::{
    sync::mpsc::{self, UnboundedReceiver, UnboundedSender},
    task::AbortHandle,
    time::sleep,
};

/// A request that has its answer.
pub(crate) struct Run {
    pub(crate) request: Rc<OutgoingRequest>,
    pub(crate) plan: Plan,
    pub(crate) answer: Answer,
    /// How long it waited for admission; `None` if it did not.
    pub(crate) waited: Option<Millis>,
}

/// Makes the sends of a request that arrived at `arrived`, until its answer. Dropping the future cancels the sends.
pub(crate) async fn run(
    shared: &Rc<Shared>,
    mut request: OutgoingRequest,
    arrived: Millis,
    options: &plan::Options,
    client: Client,
) -> Run {
    let mut plan = Plan::new(arrived, options);
    request.deadline = plan.deadline();
    let request = Rc::new(request);
    let (mut sends, mut results) = Sends::open(shared.clone(), request.clone());
    let mut orders = Vec::new();
    let mut event = Event::Start;
    let mut admission = Progress::new(shared, request.clone(), options);
    let mut wakeups = shared.waiting.open(client);
    let answer = loop {
        let now = shared.now();
        let answer = plan.handle(now, event, &mut shared.core.borrow_mut(), &mut orders);
        if shared.core.borrow().quarantine.has_updates() {
            shared.update_ready.notify_one();
        }
        for order in orders.drain(..) {
            telemetry::send_started(shared, now, &request, &plan, &order);
            sends.start(&order);
        }
        shared.queue_reports(now, &plan.take_late_upstreams());
        for withheld in plan.take_withheld() {
            telemetry::send_withheld(shared, now, &request, &plan, withheld);
        }
        admission.follow(now, &plan, answer.as_ref());
        wakeups.follow(&plan);
        shared.waiting.notify(shared);
        if let Some(answer) = answer {
            break answer;
        }
        let wake = plan.next_wakeup(now);
        event = tokio::select! {
            biased;
            ended = results.recv() => ended.unwrap_or(Event::Tick),
            () = wakeups.next() => Event::Tick,
            () = sleep(Duration::from(wake - now)) => {
                let late = shared.now() - wake.max(now);
                shared.core.borrow_mut().margin.record_timer_delay(late);
                Event::Tick
            }
        };
    };
    sends.detach();
    if plan.released() {
        quarantine::trial_answered(shared, options.fingerprint);
    }
    let waited = admission.waited();
    drop(admission);
    Run { request, plan, answer, waited }
}

/// The sends of one request. Dropping it before the answer, as when the caller disconnects, cancels
/// them: upstreams would otherwise work on a reply that no caller is waiting for.
struct Sends {
    shared: Rc<Shared>,
    request: Rc<OutgoingRequest>,
    ended: UnboundedSender<Event>,
    tasks: Vec<AbortHandle>,
}

impl Sends {
    fn open(shared: Rc<Shared>, request: Rc<OutgoingRequest>) -> (Self, UnboundedReceiver<Event>) {
        // Holds at most one value per send, and the route limits the number of sends.
        let (ended, results) = mpsc::unbounded_channel();
        (Self { shared, request, ended, tasks: Vec::new() }, results)
    }

    fn start(&mut self, order: &SendOrder) {
        let (shared, request) = (self.shared.clone(), self.request.clone());
        let SendOrder {
            part,
            ticket,
            hop,
            fallback,
            lent: host_charged,
            limits: part_limits,
            seen,
            ..
        } = *order;
        let options = exchange::Options { ticket, hop, fallback, host_charged, part_limits, seen };
        let ended = self.ended.clone();
        let task = tokio::task::spawn_local(async move {
            let result = exchange::run(shared, options, request).await;
            // The receiver is gone once the answer has been sent.
            let _ = ended.send(Event::SendEnded { part, upstream: ticket.upstream, result });
        });
        self.tasks.push(task.abort_handle());
    }

    /// Lets running sends finish: cancelling them would close their connections, which then have to
    /// be made anew.
    fn detach(mut self) {
        self.tasks.clear();
    }
}

impl Drop for Sends {
    fn drop(&mut self) {
        if !self.tasks.is_empty() {
            telemetry::request_abandoned(&self.shared, &self.request, self.tasks.len());
        }
        for task in &self.tasks {
            task.abort();
        }
    }
}
