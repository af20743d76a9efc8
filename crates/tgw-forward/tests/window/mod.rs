//! Sliding-window budgets.

use crate::world::{World, route};
use tgw_clock::Millis;
use tgw_forward::{
    Window,
    core::{Budget, Vms},
    plan::SendResult,
    upstream::SendOutcome,
};
use tgw_route::{Safety, Target};

fn one_service() -> Target {
    Target::Single("s0".into())
}

// Many replies are lost, and every request is retried. In any ten seconds the extra sends of a
// service must stay within a fifth of its requests and the constant, however they are distributed.
#[test]
fn no_span_of_the_windows_length_holds_more_than_the_budget() {
    let mut window = Window::default();
    let mut taken = Vec::new();
    for step in 0..6_000_u64 {
        let now = Millis::new(step * 10);
        let burst = (step / 700) % 2 == 0;
        if step % 10 == 0 {
            window.count_request(now);
        }
        let allowed = window.allowed(now, 0.2, 5.0);
        if burst && window.spend(now, allowed) {
            taken.push(step * 10);
        }
    }
    for (index, start) in taken.iter().enumerate() {
        let within = taken[index..].iter().take_while(|t| **t < start + 10_000).count();
        assert!(within <= 25, "{within} from {start} ms");
    }
    assert!(taken.len() > 60, "the budget is used: {}", taken.len());
}

#[test]
fn hedges_leave_budget_for_retries() {
    let mut world = World::with_budget(1, Budget { share: 0.0, constant: 16.0 * 8.0 });
    world.core.set_vms(Vms { all: 8, in_region: 1 });
    let route = route(one_service(), Safety::Idempotent);
    let mut hedged = 0;
    for _ in 0..20 {
        world.start(&route);
        world.wake();
        hedged += world.orders.len() - 1;
        for index in 0..world.orders.len() {
            world.reply(index, &[]);
        }
    }
    assert!((8..14).contains(&hedged), "{hedged} hedges");
    world.start(&route);
    world.end(0, SendResult::Broken, SendOutcome::Broken);
    assert_eq!(world.orders.len(), 2, "no budget for a retry");
}
