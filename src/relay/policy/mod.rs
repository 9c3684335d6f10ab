//! Decisions: plain state machines and functions, what happened and the time go in, a choice comes out.
//! Nothing here knows a clock, a socket, a task or an HTTP type, so that each decision is tested by itself.

pub(crate) mod admission;
pub(crate) mod availability;
pub(crate) mod book;
pub(crate) mod budget;
pub(crate) mod changes;
pub(crate) mod crash_book;
pub(crate) mod crash_mark;
pub(crate) mod crash_record;
pub(crate) mod digest;
mod engines;
pub(crate) mod kept;
pub(crate) mod line;
pub(crate) mod loads;
pub(crate) mod need_book;
pub(crate) mod need_news;
pub(crate) mod past_time;
pub(crate) mod pauses;
mod plain_number;
pub(crate) mod room;
pub(crate) mod route;
pub(crate) mod server_limit;
pub(crate) mod server_marks;
pub(crate) mod source;
pub(crate) mod split;
pub(crate) mod subset;
pub(crate) mod told_book;
pub(crate) mod told_findings;
pub(crate) mod turn_desk;
pub(crate) mod turn_keepers;
pub(crate) mod view;
pub(crate) mod waited;

pub use self::{
    admission::*, availability::*, book::*, budget::*, changes::*, crash_book::*, crash_mark::*,
    crash_record::*, digest::*, kept::*, line::*, loads::*, need_book::*, need_news::*,
    past_time::*, pauses::*, room::*, route::*, server_limit::*, server_marks::*, source::*,
    split::*, subset::*, told_book::*, told_findings::*, turn_desk::*, turn_keepers::*, view::*,
    waited::*,
};
