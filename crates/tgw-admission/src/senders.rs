use std::collections::HashMap;
use tgw_clock::Millis;

/// Delay of a report beyond the least delay from its sender, at most.
const MAX_AGE_MS: Millis = Millis::new(500);
/// Time after which a silent sender is forgotten.
const RETENTION_MS: Millis = Millis::new(10_000);
/// Number of senders known at once.
const MAX_SENDERS: usize = 1_024;

/// What is known of one sender.
#[derive(Copy, Clone, Debug)]
struct Sender {
    sent_ms: u64,
    heard_at: Millis,
    /// Least difference in ms between the own clock and that of the sender.
    offset_ms: i128,
}

/// The senders of reports. Their clocks are compared by the least delay seen from each.
#[derive(Debug, Default)]
pub(crate) struct Senders(HashMap<u64, Sender>);

impl Senders {
    /// Whether a report is to be taken in: not replayed, too old or from the future.
    pub(crate) fn accept(&mut self, now: Millis, from: u64, sent_ms: u64, age_ms: u16) -> bool {
        let max_age = MAX_AGE_MS.as_f64() as i128;
        if i128::from(age_ms) > max_age {
            return false;
        }
        self.0.retain(|_, sender| now - sender.heard_at <= RETENTION_MS);
        let offset_ms = now.as_f64() as i128 - i128::from(sent_ms);
        let Some(sender) = self.0.get_mut(&from) else {
            let known = self.0.len() < MAX_SENDERS;
            if known {
                self.0.insert(from, Sender { sent_ms, heard_at: now, offset_ms });
            }
            return known;
        };
        let delay = offset_ms - sender.offset_ms;
        if sent_ms <= sender.sent_ms || delay.abs() + i128::from(age_ms) > max_age {
            return false;
        }
        let offset_ms = sender.offset_ms.min(offset_ms);
        *sender = Sender { sent_ms, heard_at: now, offset_ms };
        true
    }

    /// Number of senders heard recently.
    pub(crate) fn recent(&self, now: Millis) -> usize {
        self.0.values().filter(|sender| now - sender.heard_at <= MAX_AGE_MS).count()
    }
}
