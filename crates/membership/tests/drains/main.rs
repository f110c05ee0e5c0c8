//! Tests single cases of drains and of the status of nodes.

mod fixture;
mod hosts;
mod precedence;
mod restart;
mod stages;
mod zones;
