use std::sync::{
    Arc, Condvar, Mutex, PoisonError,
    atomic::{AtomicBool, Ordering},
};

#[derive(Debug, Default)]
struct Shared {
    frozen: AtomicBool,
    guard: Mutex<()>,
    thawed: Condvar,
}

/// Stops the threads of one VM for a while, as a frozen machine would. Demos and tests freeze VMs
/// that share a process; elsewhere nothing ever does, and a check costs one load.
#[derive(Clone, Debug, Default)]
pub struct Freeze(Arc<Shared>);

impl Freeze {
    /// Freezes the threads that call [`Freeze::hold`], or lets them go on.
    pub fn set(&self, frozen: bool) {
        let _guard = self.0.guard.lock().unwrap_or_else(PoisonError::into_inner);
        self.0.frozen.store(frozen, Ordering::SeqCst);
        self.0.thawed.notify_all();
    }

    /// Blocks the thread while frozen.
    pub fn hold(&self) {
        if !self.0.frozen.load(Ordering::Relaxed) {
            return;
        }
        let mut guard = self.0.guard.lock().unwrap_or_else(PoisonError::into_inner);
        while self.0.frozen.load(Ordering::SeqCst) {
            guard = self.0.thawed.wait(guard).unwrap_or_else(PoisonError::into_inner);
        }
    }
}
