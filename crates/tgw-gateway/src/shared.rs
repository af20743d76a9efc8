use crate::{Dialect, Settings, governor::Governor, pool::Pools};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};
use tgw_clock::{Clock, Millis, Monotonic};
use tgw_forward::Core;
use tgw_route::{Limits, Table};
use tokio::sync::watch;

/// How far the process is in leaving.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Serving.
    Serving,
    /// Told to stop: not ready, still accepting while the balancer notices.
    Leaving,
    /// Accepting nothing; what runs is finished.
    Closing,
}

/// The configuration in force.
#[derive(Debug, Default)]
pub(crate) struct Configured {
    /// Its version; `None` before the first is known.
    pub(crate) version: Option<u64>,
    pub(crate) table: Table,
    pub(crate) limits: Limits,
}

/// What the tasks of the serving thread share. Borrows never span an await.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) dialect: Box<dyn Dialect>,
    pub(crate) clock: Monotonic,
    pub(crate) core: RefCell<Core>,
    pub(crate) pools: Pools,
    pub(crate) config: RefCell<Configured>,
    /// The list of upstreams was read once.
    pub(crate) listed: Cell<bool>,
    pub(crate) phase: watch::Sender<Phase>,
    pub(crate) governor: Governor,
    pub(crate) running: Cell<u32>,
    requests: Cell<u32>,
}

impl Shared {
    pub(crate) fn new(settings: Settings, dialect: Box<dyn Dialect>) -> Rc<Self> {
        let core = Core::new(settings.place.clone(), settings.budget);
        Rc::new(Self {
            core: RefCell::new(core),
            settings,
            dialect,
            clock: Monotonic::default(),
            pools: Pools::default(),
            config: RefCell::default(),
            listed: Cell::new(false),
            phase: watch::Sender::new(Phase::Serving),
            governor: Governor::default(),
            running: Cell::new(0),
            requests: Cell::new(rand::random()),
        })
    }

    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Whether the balancer may send new callers.
    pub(crate) fn ready(&self) -> bool {
        self.phase() == Phase::Serving
            && self.listed.get()
            && self.config.borrow().version.is_some()
    }

    /// A number that differs from request to request.
    pub(crate) fn number(&self) -> u32 {
        let number = self.requests.get().wrapping_add(1);
        self.requests.set(number);
        number
    }
}
