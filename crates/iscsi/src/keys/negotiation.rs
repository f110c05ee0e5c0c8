//! One side's answers to the other's offers (RFC 7143, section 6.2). No I/O.

use super::{KeyError, Kind, Params, Preferences, Use, TABLE};
use std::collections::BTreeSet;

/// The answer to an offered key: a pair to send, or None if no answer is due.
type Answer = Result<Option<(String, String)>, KeyError>;

/// One side's answers to the other's offers, over one login or text negotiation.
#[derive(Debug)]
pub struct Negotiation {
    preferences: Preferences,
    /// The parameters agreed so far.
    pub agreed: Params,
    /// The session is a discovery session.
    pub discovery: bool,
    /// The login is the one that creates the session.
    leading: bool,
    login: bool,
    offered: BTreeSet<String>,
}

/// One offered pair.
#[derive(Clone, Copy)]
struct Offer<'a> {
    name: &'a str,
    value: &'a str,
}

impl Offer<'_> {
    fn answer(self, value: &str) -> Answer {
        Ok(Some((self.name.to_string(), value.to_string())))
    }

    fn error(self, expected: String) -> Answer {
        Err(KeyError::Value {
            key: self.name.into(),
            value: format!("{:.40}", self.value),
            expected,
        })
    }

    /// Returns the value as a number of the range; None if it is not one.
    fn number(self, min_value: u32, max_value: u32) -> Option<u32> {
        let number = parse_number(self.value)?;
        (min_value..=max_value).contains(&number).then_some(number)
    }
}

fn parse_number(text: &str) -> Option<u32> {
    match text.strip_prefix("0x").or(text.strip_prefix("0X")) {
        Some(hex) => u32::from_str_radix(hex, 16).ok(),
        None => text.parse().ok(),
    }
}

fn parse_bool(text: &str) -> Option<bool> {
    match text {
        "Yes" => Some(true),
        "No" => Some(false),
        _ => None,
    }
}

impl Negotiation {
    /// Creates a negotiation that starts from `agreed`. `login` and `leading` determine the permitted
    /// keys.
    pub fn new(preferences: Preferences, agreed: Params, login: bool, leading: bool) -> Self {
        Negotiation {
            preferences,
            agreed,
            discovery: false,
            leading,
            login,
            offered: BTreeSet::new(),
        }
    }

    /// Answers one offered pair; None if no answer is due. The caller handles reserved words that
    /// answer an offer of this side.
    pub fn offer(&mut self, name: &str, value: &str) -> Result<Option<(String, String)>, KeyError> {
        let offer = Offer { name, value };
        if !self.offered.insert(name.to_string()) {
            return Err(KeyError::Duplicate(name.into()));
        }
        let Some(key) = TABLE.iter().find(|key| key.name == name) else {
            return offer.answer("NotUnderstood");
        };
        match key.phase {
            Use::Leading if !self.leading => {
                return offer.error("only in a session's first login".into());
            }
            Use::Login if !self.login => return offer.error("only in a login".into()),
            _ => {}
        }
        if key.normal_only && self.discovery {
            return offer.answer("Irrelevant");
        }
        match key.kind {
            Kind::DeclaresText => Ok(None),
            Kind::Obsolete(answer) => offer.answer(answer),
            Kind::Declares {
                min_value,
                max_value,
            } => self.declare(offer, min_value, max_value),
            Kind::Minimum {
                min_value,
                max_value,
            } => self.agree_number(offer, min_value, max_value, u32::min),
            Kind::Maximum {
                min_value,
                max_value,
            } => self.agree_number(offer, min_value, max_value, u32::max),
            Kind::And => self.agree_bool(offer, |ours, theirs| ours && theirs),
            Kind::Or => self.agree_bool(offer, |ours, theirs| ours || theirs),
            Kind::FirstOf(known) => self.agree_list(offer, known),
        }
    }

    fn declare(&mut self, offer: Offer, min_value: u32, max_value: u32) -> Answer {
        let Some(number) = offer.number(min_value, max_value) else {
            return offer.error(format!("a number from {min_value} to {max_value}"));
        };
        self.agreed.peer_max_segment = number;
        Ok(None)
    }

    /// Agrees on a number. A value out of range is answered Reject, and the default stays (section
    /// 6.2.2).
    fn agree_number(
        &mut self,
        offer: Offer,
        min_value: u32,
        max_value: u32,
        result: fn(u32, u32) -> u32,
    ) -> Answer {
        let Some(theirs) = offer.number(min_value, max_value) else {
            return offer.answer("Reject");
        };
        let (ours, field) = self.number_field(offer.name);
        let number = result(ours, theirs);
        *field(&mut self.agreed) = number;
        self.agreed.first_burst = self.agreed.first_burst.min(self.agreed.max_burst);
        offer.answer(&number.to_string())
    }

    fn agree_bool(&mut self, offer: Offer, result: fn(bool, bool) -> bool) -> Answer {
        let Some(theirs) = parse_bool(offer.value) else {
            return offer.answer("Reject");
        };
        let (ours, field) = self.bool_field(offer.name);
        let choice = result(ours, theirs);
        *field(&mut self.agreed) = choice;
        offer.answer(if choice { "Yes" } else { "No" })
    }

    fn agree_list(&mut self, offer: Offer, known: &[&str]) -> Answer {
        let is_supported = |value: &&str| {
            known.contains(value) && (*value != "CRC32C" || self.preferences.digests)
        };
        let Some(first) = offer.value.split(',').find(is_supported) else {
            return offer.answer("Reject");
        };
        let is_digest = first == "CRC32C";
        match offer.name {
            "HeaderDigest" => self.agreed.header_digest = is_digest,
            "DataDigest" => self.agreed.data_digest = is_digest,
            _ => {}
        }
        offer.answer(first)
    }

    /// Returns this side's number for a key, and the field that stores the result.
    fn number_field(&self, name: &str) -> (u32, fn(&mut Params) -> &mut u32) {
        let field: fn(&mut Params) -> &mut u32 = match name {
            "MaxConnections" => |params| &mut params.max_connections,
            "MaxBurstLength" => |params| &mut params.max_burst,
            "FirstBurstLength" => |params| &mut params.first_burst,
            "DefaultTime2Wait" => |params| &mut params.time2wait,
            "DefaultTime2Retain" => |params| &mut params.time2retain,
            "MaxOutstandingR2T" => |params| &mut params.max_outstanding_r2t,
            "iSCSIProtocolLevel" => |params| &mut params.protocol_level,
            _ => |params| &mut params.recovery_level,
        };
        (*field(&mut self.preferences.params.clone()), field)
    }

    /// Returns this side's choice for a key, and the field that stores the result.
    fn bool_field(&self, name: &str) -> (bool, fn(&mut Params) -> &mut bool) {
        let field: fn(&mut Params) -> &mut bool = match name {
            "InitialR2T" => |params| &mut params.initial_r2t,
            "ImmediateData" => |params| &mut params.immediate_data,
            "DataPDUInOrder" => |params| &mut params.pdu_in_order,
            _ => |params| &mut params.sequence_in_order,
        };
        (*field(&mut self.preferences.params.clone()), field)
    }

    /// Returns the pairs that this side declares once in each login.
    pub fn declarations(&self) -> Vec<(String, String)> {
        vec![(
            "MaxRecvDataSegmentLength".into(),
            self.preferences.own_max_segment.to_string(),
        )]
    }
}
