//! Evidence of overload, and the limit on queries that run at once.
