use crossbeam_queue::ArrayQueue;
use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, Ordering},
};
use tokio::sync::Notify;

struct Shared<T> {
    queue: ArrayQueue<T>,
    ready: Notify,
    closed: AtomicBool,
    rejected: AtomicU64,
}

/// The sending end; it can be cloned for any number of workers.
pub struct Sender<T>(Arc<Shared<T>>);

/// The receiving end, held by one worker.
pub struct Receiver<T>(Arc<Shared<T>>);

/// Creates a bounded queue of `capacity` values, at least one.
pub fn channel<T>(capacity: usize) -> (Sender<T>, Receiver<T>) {
    let shared = Arc::new(Shared {
        queue: ArrayQueue::new(capacity.max(1)),
        ready: Notify::new(),
        closed: AtomicBool::new(false),
        rejected: AtomicU64::new(0),
    });
    (Sender(shared.clone()), Receiver(shared))
}

impl<T> Clone for Sender<T> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<T> Sender<T> {
    /// Enqueues a value; returns it if the queue is full or its receiver was dropped.
    pub fn push(&self, value: T) -> Result<(), T> {
        if self.0.closed.load(Ordering::Acquire) {
            return Err(value);
        }
        match self.0.queue.push(value) {
            Ok(()) => {
                self.0.ready.notify_one();
                Ok(())
            }
            Err(value) => {
                self.0.rejected.fetch_add(1, Ordering::Relaxed);
                Err(value)
            }
        }
    }

    /// The number of queued values.
    pub fn len(&self) -> usize {
        self.0.queue.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.0.queue.is_empty()
    }

    /// The number of values rejected so far because the queue was full.
    pub fn rejected_count(&self) -> u64 {
        self.0.rejected.load(Ordering::Relaxed)
    }
}

impl<T> Receiver<T> {
    /// Removes the oldest value without waiting.
    pub fn pop(&self) -> Option<T> {
        self.0.queue.pop()
    }

    /// Waits until a value may be available; wakeups may be spurious.
    pub async fn ready(&self) {
        if self.0.queue.is_empty() {
            self.0.ready.notified().await;
        }
    }

    /// Waits for a value and removes the oldest.
    pub async fn recv(&self) -> T {
        loop {
            if let Some(value) = self.pop() {
                return value;
            }
            self.0.ready.notified().await;
        }
    }
}

impl<T> Drop for Receiver<T> {
    fn drop(&mut self) {
        self.0.closed.store(true, Ordering::Release);
        while self.0.queue.pop().is_some() {}
    }
}
