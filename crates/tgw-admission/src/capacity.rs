/// The concurrency limit on the queries over one set of services.
mod limit;
/// Detection of a standing queue at the upstreams of one service.
mod standing_queue;
/// What the requests of each route usually take.
mod usual;

pub use limit::{Limit, Pressure};
pub use standing_queue::StandingQueue;
pub use usual::UsualWork;
