use super::{
    query::Query,
    run::World,
    upstream::Fate,
    vms::{REGIONS, SHARDS, upstream},
};
use tgw_clock::Millis;

/// Answers a query by a choice that knows what becomes of each send at each upstream before it is made.
///
/// It bounds what any policy can reach from above only nearly: it serves each query as well as it can be, in
/// the order of their arrival, and does not give one up for the sake of others.
pub(super) fn answer(world: &mut World, query: &Query) -> (Vec<Millis>, u64) {
    let (mut replies, mut far) = (Vec::new(), 0);
    for shard in 0..SHARDS {
        let tries = (0..REGIONS).map(|region| {
            let way = world.way(query.region, region);
            let upstream = upstream(shard, region);
            let draw = query.draw(shard, 0, upstream);
            let fate = world.upstreams[upstream].fate(query.at + way, query.work[shard], draw);
            let reply = match fate {
                Fate::Done(end) => Some(end + way),
                Fate::Lost(_) | Fate::Shed | Fate::Silent | Fate::Refused | Fate::Ends(_) => None,
            };
            (reply, region, upstream, draw)
        });
        let best = tries.filter_map(|(reply, r, u, d)| Some((reply?, r, u, d))).min_by_key(|t| t.0);
        if let Some((reply, region, upstream, draw)) = best {
            let way = world.way(query.region, region);
            world.upstreams[upstream].arrive(query.at + way, query.work[shard], draw);
            far += u64::from(region != query.region);
            replies.push(reply);
        }
    }
    (replies, far)
}
