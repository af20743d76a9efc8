//! Whether a configuration is the newest.

use tgw_clock::Millis;
use tgw_spread::Freshness;

const AT: Millis = Millis::new(1_000);

fn ms(ms: u64) -> Millis {
    AT + Millis::new(ms)
}

// A VM learns that its configuration is the newest; a key is added after that, and its caller's first request comes
// within the same moment. The earlier answer must not refuse it.
#[test]
fn an_answer_covers_no_request_that_arrived_after_the_question() {
    let mut freshness = Freshness::default();
    assert!(freshness.take_ask_due(ms(0)));
    freshness.confirm();
    assert!(freshness.covers(ms(0)));
    assert!(!freshness.covers(ms(5)));
    assert!(freshness.take_ask_due(ms(25)));
    assert!(!freshness.covers(ms(5)));
    freshness.confirm();
    assert!(freshness.covers(ms(5)));
}

// Guards against a question for each of many requests with unknown keys, and against one that is lost and waited for.
#[test]
fn questions_are_bounded_and_repeated() {
    let mut freshness = Freshness::default();
    let asked = (0..1_000).filter(|at| freshness.take_ask_due(ms(*at))).count();
    assert!((10..=13).contains(&asked), "{asked} questions without an answer");
    let mut freshness = Freshness::default();
    let answered = |at: &u64| {
        let asks = freshness.take_ask_due(ms(*at));
        freshness.confirm();
        asks
    };
    let asked = (0..1_000).filter(answered).count();
    assert!(asked <= 50, "{asked} questions");
}
