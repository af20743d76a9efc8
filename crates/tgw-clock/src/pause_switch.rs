use std::sync::{
    Arc, Condvar, Mutex, PoisonError,
    atomic::{AtomicBool, Ordering},
};

#[derive(Debug, Default)]
struct Shared {
    frozen: AtomicBool,
    guard: Mutex<()>,
    resumed: Condvar,
}

/// A switch that blocks the threads of one VM, to simulate a suspended machine. Demos and tests use
/// it on VMs that share a process; a production process never sets it and pays one atomic load a check.
#[derive(Clone, Debug, Default)]
pub struct PauseSwitch(Arc<Shared>);

impl PauseSwitch {
    /// Blocks the threads that call [`PauseSwitch::wait_while_paused`], or resumes them.
    pub fn set_paused(&self, frozen: bool) {
        let _guard = self.0.guard.lock().unwrap_or_else(PoisonError::into_inner);
        self.0.frozen.store(frozen, Ordering::SeqCst);
        self.0.resumed.notify_all();
    }

    /// Blocks the calling thread while the switch is set.
    pub fn wait_while_paused(&self) {
        if !self.0.frozen.load(Ordering::Relaxed) {
            return;
        }
        let mut guard = self.0.guard.lock().unwrap_or_else(PoisonError::into_inner);
        while self.0.frozen.load(Ordering::SeqCst) {
            guard = self.0.resumed.wait(guard).unwrap_or_else(PoisonError::into_inner);
        }
    }
}
