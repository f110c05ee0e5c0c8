use super::*;

/// Guards against a message that is cut or repeated when the socket accepts it in parts, and against
/// shared bodies that count twice.
#[test]
fn a_message_is_written_once_and_whole_in_parts_of_any_size() {
    let head = b"HEAD\r\n".to_vec();
    for body in [0, 1, MAX_COPIED_BODY, MAX_COPIED_BODY + 1, 70_000] {
        let body = Bytes::from(vec![b'x'; body]);
        let expected = [&head, &body[..], &head].concat();
        for part in [1, 5, 4096, usize::MAX] {
            let mut queue = WriteQueue::default();
            for body in [body.clone(), Bytes::new()] {
                let head = head.clone();
                queue.push(OutgoingMessage { head, body });
            }
            assert_eq!(queue.len(), expected.len());
            let is_copied = body.len() <= MAX_COPIED_BODY;
            let shared = if is_copied { 0 } else { body.len() };
            assert_eq!(queue.owned_bytes(), expected.len() - shared);
            let mut written = Vec::new();
            while let Some(next) = queue.next() {
                let accepted = next.len().min(part);
                written.extend_from_slice(&next[..accepted]);
                queue.advance(accepted);
            }
            assert!(written == expected, "{} bytes, parts of {part}", body.len());
            assert_eq!((queue.len(), queue.owned_bytes()), (0, 0));
        }
    }
}
