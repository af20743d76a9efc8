use super::{
    entry,
    model::{Caller, Figures, Server, play, sum},
    ms,
};
use test_case::test_case;
use tgw_admission::queue::Queue;

/// Of a server that serves 100 queries a second.
const WORK_MS: f64 = 10.0;

fn crowd(per_s: f64, priority: u32) -> Vec<Caller> {
    (0..79).map(|number| Caller::new(&format!("t{number}"), priority, per_s, 300)).collect()
}

fn least(figures: &[Figures]) -> f64 {
    figures.iter().map(Figures::fraction).fold(f64::INFINITY, f64::min)
}

/// Guards against a tenant that takes the room of others, though it is within its limit: 80 tenants ask 1.2 of what
/// can be served, the hot one as much as 41 others.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn hot_tenant_pays_for_what_it_asks(seed: u64) {
    let mut callers = crowd(1.0, 1);
    callers.push(Caller::new("hot", 1, 41.0, 300));
    let figures = play(&callers, WORK_MS, 60, seed);
    let (others, hot) = (least(&figures[..79]), figures[79].fraction());
    assert!(others >= 0.9 && (0.25..0.6).contains(&hot), "others {others}, hot {hot}");
}

/// Guards against a tenant that is crowded out by 79 others of its priority: all ask the same, 1.2 of the capacity.
#[test_case(1)]
#[test_case(2)]
fn equal_tenants_are_served_alike(seed: u64) {
    let figures = play(&crowd(1.52, 1), WORK_MS, 60, seed);
    let (least, mean) = (least(&figures), sum(&figures).fraction());
    assert!(least >= mean - 0.15 && mean > 0.8, "least {least}, mean {mean}");
}

/// Guards against a tenant with two queries a minute that waits behind one with 200 a second.
#[test_case(1)]
#[test_case(2)]
fn rare_tenant_is_served_beside_a_hot_one(seed: u64) {
    let callers = [Caller::new("hot", 1, 200.0, 300), Caller::new("rare", 1, 1.0 / 30.0, 100)];
    let figures = play(&callers, WORK_MS, 600, seed);
    assert!(figures[1].asked > 5 && figures[1].fraction() == 1.0, "{figures:?}");
}

/// Guards against priorities that are not kept, and a last priority that is starved: three priorities ask 1.5 of the
/// capacity, with and without tenants.
#[test_case("", "", ""; "without tenants")]
#[test_case("a", "a", "a"; "one tenant")]
#[test_case("a", "b", "c"; "a tenant each")]
fn urgent_queries_are_served_and_the_last_not_starved(urgent: &str, usual: &str, last: &str) {
    let callers = [
        Caller::new(urgent, 0, 50.0, 85),
        Caller::new(usual, 1, 50.0, 340),
        Caller::new(last, 2, 50.0, 1900),
    ];
    let fractions: Vec<f64> =
        play(&callers, WORK_MS, 60, 1).iter().map(Figures::fraction).collect();
    assert!(fractions[0] >= 0.99, "{fractions:?}");
    assert!(fractions[1] >= 0.7, "{fractions:?}");
    assert!(fractions[2] >= 0.2, "{fractions:?}");
}

/// Guards against urgent queries that are not admitted before others when they alone exceed the capacity, and against
/// starving the others then.
#[test]
fn urgent_queries_beyond_capacity_take_all_but_the_aged() {
    let callers = [Caller::new("a", 0, 130.0, 85), Caller::new("b", 2, 20.0, 1900)];
    let figures = play(&callers, WORK_MS, 60, 1);
    let (urgent, last) = (figures[0].served as f64 / 6000.0, figures[1].fraction());
    assert!(urgent > 0.85, "urgent queries get {urgent} of the capacity");
    assert!(last >= 0.25 * sum(&figures).fraction(), "last {last}");
}

/// Guards against a last priority that is starved because the queue is full of urgent queries, or because these have
/// always waited longer: they alone ask 1.8 of a capacity of 500/s. The 32 places of the last priority, for 1.9 s each,
/// allow for 0.034 of it.
#[test_case(100.0, "a", "b"; "two tenants")]
#[test_case(100.0, "", ""; "without tenants")]
#[test_case(900.0, "", ""; "as many of the last priority")]
fn last_priority_is_not_starved_by_a_full_queue(last: f64, urgent_tenant: &str, tenant: &str) {
    let callers = [Caller::new(urgent_tenant, 0, 900.0, 400), Caller::new(tenant, 2, last, 1900)];
    let figures = play(&callers, 2.0, 20, 1);
    let [urgent, last] = [0, 1].map(|caller: usize| figures[caller].served as f64 / 10_000.0);
    assert!(urgent >= 0.85 && last >= 0.025, "{urgent} and {last} of the capacity");
}

/// Guards against two priorities of which the second loses more than does not fit, at 1.3 of the capacity for 10 s.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn two_priorities_share_what_fits(seed: u64) {
    let callers = [Caller::new("", 0, 65.0, 85), Caller::new("", 1, 65.0, 340)];
    let figures = play(&callers, WORK_MS, 10, seed);
    let (urgent, usual) = (figures[0].fraction(), figures[1].fraction());
    assert!(urgent >= 0.97 && usual >= 0.4, "urgent {urgent}, usual {usual}");
}

/// Guards against a tenant of the last priority that is served less than a quarter as often as all requests.
#[test_case(3.0, 20.0; "small tenant beside a hot one of its priority")]
#[test_case(10.0, 200.0; "three times the capacity")]
#[test_case(40.0, 100.0; "two tenants that ask much")]
fn no_tenant_is_served_less_than_a_quarter_as_often(small: f64, hot: f64) {
    let callers = [
        Caller::new("urgent", 0, 100.0, 85),
        Caller::new("small", 2, small, 300),
        Caller::new("hot", 2, hot, 300),
    ];
    let figures = play(&callers, WORK_MS, 60, 1);
    let (least, all) = (least(&figures), sum(&figures).fraction());
    assert!(least >= 0.25 * all, "least {least} of {all}, {figures:?}");
}

/// Guards against a last priority, or a tenant, that is starved because its queries are rejected on arrival, so that
/// none waits that could age.
#[test_case("a", "b"; "two tenants")]
#[test_case("", ""; "without tenants")]
fn rejection_on_arrival_does_not_starve(urgent_tenant: &str, tenant: &str) {
    let callers = [Caller::new(urgent_tenant, 0, 180.0, 400), Caller::new(tenant, 2, 100.0, 300)];
    let mut server = Server::new(&callers, WORK_MS, 1).rejecting();
    (0..60_000).for_each(|now| server.step(now));
    let [urgent, last] = [0, 1].map(|caller: usize| server.figures[caller].served as f64 / 6000.0);
    assert!(urgent >= 0.85 && last >= 0.08, "{urgent} and {last} of the capacity");
}

/// Guards against a rejection where nothing is known about the rate, or nothing waits.
#[test]
fn queries_are_not_rejected_without_a_rate_or_a_backlog() {
    let mut queue = Queue::default();
    assert!(queue.can_start(ms(0), &entry(900, 5, "", 0), 1.0));
    for number in 0..100 {
        queue.push(ms(0), entry(number, 0, "", 100));
    }
    let can_start = |rate: f64| queue.can_start(ms(0), &entry(900, 0, "", 200), rate);
    let rates = [0.0, -1.0, f64::NAN, 1e-9, 0.4, 0.6, f64::INFINITY];
    assert_eq!(rates.map(can_start), [true, true, true, false, false, true, true]);
}
