use super::{
    query::Query,
    run::UpstreamPool,
    upstream::Outcome,
    vms::{REGIONS, upstream_number},
};
use tgw_clock::Millis;

/// Answers a query with the best send for each shard, knowing beforehand how each send would end at
/// each upstream.
///
/// This is only nearly an upper bound for any policy: queries are served as well as possible in the
/// order of their arrival, and none is given up for the sake of others.
pub(super) fn answer(pool: &mut UpstreamPool, query: &Query) -> (Vec<Millis>, u64) {
    let (mut replies, mut far) = (Vec::new(), 0);
    for shard in 0..query.work.len() {
        let tries = (0..REGIONS).map(|region| {
            let delay = pool.delay(query.region, region);
            let upstream = upstream_number(shard, region);
            let draw = query.draw(shard, 0, upstream);
            let outcome =
                pool.upstreams[upstream].outcome(query.at + delay, query.work[shard], draw);
            let reply = match outcome {
                Outcome::Done(end) => Some(end + delay),
                Outcome::ReplyLost(_)
                | Outcome::Shed
                | Outcome::Unanswered
                | Outcome::Refused
                | Outcome::Ends(_) => None,
            };
            (reply, region, upstream, draw)
        });
        let best = tries.filter_map(|(reply, r, u, d)| Some((reply?, r, u, d))).min_by_key(|t| t.0);
        if let Some((reply, region, upstream, draw)) = best {
            let delay = pool.delay(query.region, region);
            pool.upstreams[upstream].arrive(query.at + delay, query.work[shard], draw);
            far += u64::from(region != query.region);
            replies.push(reply);
        }
    }
    (replies, far)
}
