//! Bytes in pieces of any size into the PDU reader: it never panics, holds no more than a PDU may
//! take, and what it reads is written back as the same bytes' meaning.
#![no_main]

use grebecleat_iscsi::pdu::{write, Digests, PduError, Reader};
use libfuzzer_sys::fuzz_target;

const MOST: usize = 2048;

fuzz_target!(|bytes: &[u8]| {
    let [how, size, bytes @ ..] = bytes else { return };
    let digests = Digests { header: how & 1 != 0, data: how & 2 != 0 };
    let mut reader = Reader::new(MOST);
    reader.digests = digests;
    for piece in bytes.chunks(usize::from(*size) + 1) {
        reader.push(piece);
        loop {
            match reader.next() {
                Ok(None) => break,
                Ok(Some(pdu)) => {
                    let (mut again, mut written) = (Reader::new(MOST), Vec::new());
                    again.digests = digests;
                    write(&pdu, digests, &mut written);
                    again.push(&written);
                    let read = again.next().expect("what was written is fine").expect("and whole");
                    assert_eq!((read.ahs, read.data, again.partial()), (pdu.ahs, pdu.data, 0));
                }
                Err(PduError::DataDigest(_)) => {}
                Err(_) => return,
            }
        }
        assert!(reader.partial() < 48 + 1020 + MOST + 8 + 256, "it waits for more than a PDU");
    }
});
