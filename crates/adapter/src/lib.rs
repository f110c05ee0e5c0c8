//! What the users' bench and their platform share: how start-up settings are read.

pub mod settings;
