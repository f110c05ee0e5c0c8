//! Feeds arbitrary bytes to the PDU reader in chunks of arbitrary size. The reader must not panic or
//! buffer more than the maximum size of a PDU, and a PDU that was read, written and read again must be
//! the same.
#![no_main]

use grebecleat_iscsi::pdu::{write, Digests, PduError, Reader};
use libfuzzer_sys::fuzz_target;

const MAX_DATA_BYTES: usize = 2048;

fuzz_target!(|bytes: &[u8]| {
    let [digest_flags, chunk_size, bytes @ ..] = bytes else { return };
    let digests = Digests { header: digest_flags & 1 != 0, data: digest_flags & 2 != 0 };
    let mut reader = Reader::new(MAX_DATA_BYTES);
    reader.digests = digests;
    for chunk in bytes.chunks(usize::from(*chunk_size) + 1) {
        reader.push(chunk);
        loop {
            match reader.next() {
                Ok(None) => break,
                Ok(Some(pdu)) => {
                    let (mut second_reader, mut written) = (Reader::new(MAX_DATA_BYTES), Vec::new());
                    second_reader.digests = digests;
                    write(&pdu, digests, &mut written);
                    second_reader.push(&written);
                    let read = second_reader.next().expect("a written PDU is valid").expect("a written PDU is complete");
                    assert_eq!((read.ahs, read.data, second_reader.partial()), (pdu.ahs, pdu.data, 0));
                }
                Err(PduError::DataDigest(_)) => {}
                Err(_) => return,
            }
        }
        assert!(reader.partial() < 48 + 1020 + MAX_DATA_BYTES + 8 + 256, "the reader buffers more than the maximum size of a PDU");
    }
});
