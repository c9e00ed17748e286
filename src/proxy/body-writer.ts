/**
 * Chunked framing of an answer in one buffer a chunk. Node.js hands on the length, two line ends and the bytes of each
 * chunk apart and joins them in the kernel call; an event of a stream is a few bytes, so most of that is framing.
 */
import type { ServerResponse } from 'node:http';

/** Writes the body of an answer whose head has gone out. */
export type BodyWriter = {
  readonly write: (chunk: Buffer) => boolean;
  readonly end: (last: Buffer | undefined, done: () => void) => void;
  /** Whether an answer that breaks off now shows that it isn't whole. */
  readonly isDelimited: boolean;
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

/** The framing of answers. */
export const BodyWriter = {
  /** Takes over the framing where the answer is chunked; any other is written as it is. */
  of(outgoing: ServerResponse): BodyWriter {
    if (!outgoing.chunkedEncoding)
      return {
        isDelimited: outgoing.hasHeader('content-length'),
        write: (chunk) => outgoing.write(chunk),
        end: (last, done) => void outgoing.end(last, done),
      };
    outgoing.chunkedEncoding = false;
    return {
      isDelimited: true,
      write: (chunk) => chunk.length === 0 || outgoing.write(frame(chunk)),
      end: (last, done) =>
        void outgoing.end(last ? Buffer.concat([frame(last), lastChunk]) : lastChunk, done),
    };
  },
};
