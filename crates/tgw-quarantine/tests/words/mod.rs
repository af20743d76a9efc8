//! What VMs tell one another, in any order.

use crate::ledger::end;
use proptest::prelude::*;
use tgw_clock::Millis;
use tgw_quarantine::{
    Fingerprint, Ledger,
    ledger::Verdict,
    message::{End, Hold, News, Seen},
};

const PRINT: Fingerprint = Fingerprint { content: 7, caller: 1 };
/// Longer than a request is pending before it is decided.
const LATER: Millis = Millis::new(1_000);

fn words() -> impl Strategy<Value = Vec<End>> {
    let one = (0u8..4, 0u8..4, 0u32..3, 0u32..40);
    let word = one.prop_map(|(all, service, number, upstream)| {
        end(PRINT, &format!("s{number}"), upstream, Seen { all, service })
    });
    // Word of one upstream is the same from whoever tells it.
    prop::collection::vec(word, 0..12).prop_map(|mut words| {
        words.sort_by_key(|word| word.upstream);
        words.dedup_by_key(|word| word.upstream);
        words
    })
}

fn verdicts(ledger: &mut Ledger) -> [Verdict; 4] {
    let parts = ["s0", "s1", "s2"].map(|service| ledger.part(LATER, PRINT, service));
    [ledger.verdict(LATER, PRINT), parts[0], parts[1], parts[2]]
}

proptest! {
    // Words of upstreams that ended take different ways to two VMs, some twice. Both judge alike.
    #[test]
    fn vms_that_heard_the_same_judge_alike(
        words in words(),
        order in any::<prop::sample::Index>(),
        twice in any::<prop::sample::Index>(),
    ) {
        let (mut here, mut there) = (Ledger::default(), Ledger::default());
        for word in &words {
            here.ended(Millis::ZERO, word);
        }
        let mut shuffled = words.clone();
        if !words.is_empty() {
            shuffled.rotate_left(order.index(words.len()));
            shuffled.push(words[twice.index(words.len())]);
            shuffled.reverse();
        }
        for word in &shuffled {
            there.ended(Millis::ZERO, word);
        }
        prop_assert_eq!(verdicts(&mut here), verdicts(&mut there));
    }

    // VMs pass on what is new to them, to whoever it may be. That ends.
    #[test]
    fn word_that_goes_round_dies_out(words in words()) {
        let mut vms = [(); 3].map(|()| Ledger::default());
        for word in &words {
            vms[0].ended(Millis::ZERO, word);
        }
        let mut told = 0;
        loop {
            let waiting: Vec<(usize, News)> = vms
                .iter_mut()
                .enumerate()
                .filter_map(|(vm, ledger)| Some((vm, ledger.take_news()?)))
                .collect();
            if waiting.is_empty() {
                break;
            }
            for (from, news) in waiting {
                told += 1;
                prop_assert!(told <= 3 * (words.len() + 1));
                for (_, ledger) in vms.iter_mut().enumerate().filter(|(vm, _)| *vm != from) {
                    for end in &news.ends {
                        ledger.ended(Millis::ZERO, end);
                    }
                    for hold in &news.holds {
                        ledger.merge(Millis::ZERO, hold);
                    }
                }
            }
        }
    }

    // Somebody bends a packet. Nothing of it breaks a VM, whatever it says.
    #[test]
    fn any_word_is_survived(
        turn in any::<u16>(),
        trials in any::<u8>(),
        wait in any::<u32>(),
        all in any::<u8>(),
        service in any::<u8>(),
    ) {
        let mut ledger = Ledger::default();
        let hold = Hold { print: PRINT, service: None, turn, trials, wait };
        ledger.merge(LATER, &hold);
        ledger.merge(LATER, &Hold { service: Some(3), ..hold });
        ledger.ended(LATER, &end(PRINT, "s0", 1, Seen { all, service }));
        ledger.verdict(Millis::MAX, PRINT);
        ledger.answered(LATER, PRINT, "s0");
        ledger.release(LATER, PRINT);
        prop_assert!(ledger.list(LATER).is_empty());
    }
}

// A VM was cut off while others held a request back, and heard none of the words. What the others repeat of what is
// held back is enough, and a word that it has already is not passed on again.
#[test]
fn a_vm_that_heard_nothing_learns_what_is_held_back() {
    let mut ledger = Ledger::default();
    for number in 0..3 {
        let seen = ledger.known(PRINT, "s0");
        ledger.ended(Millis::ZERO, &end(PRINT, "s0", number, seen));
    }
    let mut late = Ledger::default();
    for hold in ledger.holds_from(LATER, 0) {
        late.merge(LATER, &hold);
    }
    assert_eq!(verdicts(&mut late)[0], verdicts(&mut ledger)[0]);
    while late.take_news().is_some() {}
    for hold in ledger.holds_from(Millis::ZERO, 0) {
        late.merge(LATER, &hold);
    }
    assert_eq!(late.take_news(), None);
}
