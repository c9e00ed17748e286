/**
 * Writes response bodies, with chunked framing in one buffer per chunk. Node.js writes the length, the line ends and the
 * data of each chunk as separate buffers and joins them in the system call; events of a stream are only a few bytes long,
 * so most of that work would be framing.
 */
import type { ServerResponse } from 'node:http';

/** Writes the body of a response whose headers have been sent. */
export type BodyWriter = {
  /** Returns false when the client connection applies back pressure. */
  readonly write: (chunk: Buffer) => boolean;
  /** Ends the body with an optional last chunk. */
  readonly end: (last: Buffer | undefined, done: () => void) => void;
};

const lineEnd = '\r\n';
const lastChunk = Buffer.from('0\r\n\r\n', 'latin1');

const frame = (chunk: Buffer): Buffer => {
  const head = chunk.length.toString(16) + lineEnd;
  const framed = Buffer.allocUnsafe(head.length + chunk.length + lineEnd.length);
  framed.write(head, 0, 'latin1');
  chunk.copy(framed, head.length);
  framed.write(lineEnd, head.length + chunk.length, 'latin1');
  return framed;
};

/** Creates body writers. */
export const BodyWriter = {
  /** Takes over the framing of a chunked response; any other body is written unchanged. */
  of(outgoing: ServerResponse): BodyWriter {
    if (!outgoing.chunkedEncoding)
      return {
        write: (chunk) => outgoing.write(chunk),
        end: (last, done) => void outgoing.end(last, done),
      };
    outgoing.chunkedEncoding = false;
    return {
      write: (chunk) => chunk.length === 0 || outgoing.write(frame(chunk)),
      end: (last, done) =>
        void outgoing.end(last ? Buffer.concat([frame(last), lastChunk]) : lastChunk, done),
    };
  },
};
