/** What a message body holds, as far as its structure is of use here. */
import type { IncomingHttpHeaders } from 'node:http';

/** An event stream, JSON (one value or a sequence of values), or anything else, which includes all encoded bodies. */
export type ContentKind = 'events' | 'json' | 'other';

const eventStream = /^text\/event-stream\s*(?:;|$)/i;
const json = /^application\/(?:[\w.+-]+\+json|json|x-ndjson|ndjson|jsonl)\s*(?:;|$)/i;

const isEncoded = ({ 'content-encoding': encoding = 'identity' }: IncomingHttpHeaders): boolean =>
  encoding.trim().toLowerCase() !== 'identity';

/** Reads it from the headers of a message. */
export const ContentKind = {
  of(headers: IncomingHttpHeaders): ContentKind {
    if (isEncoded(headers)) return 'other';
    const type = headers['content-type'] ?? '';
    if (eventStream.test(type)) return 'events';
    return json.test(type) ? 'json' : 'other';
  },
};
