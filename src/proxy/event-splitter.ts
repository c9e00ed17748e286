/**
 * Splits an event stream into complete events. Only complete events are passed on, so that a stream that breaks inside an
 * event can be resumed after the last one that the client received; events that the client already has are left out. After
 * an event that has content but no id, the position in the stream is unknown and it cannot be resumed.
 */
/** Splits one event stream, which may come from several servers in turn. */
export type EventSplitter = {
  /** Adds received bytes and returns the new complete events, if any. */
  readonly push: (chunk: Buffer) => Buffer | undefined;
  /** The id of the last event passed on, or the one that the client started after. */
  readonly lastId: () => string | undefined;
  /** Whether the stream can be resumed after the last event. */
  readonly canResume: () => boolean;
  /** Discards an incomplete event before the stream continues from another server. */
  readonly reset: () => void;
  /** Bytes after the last complete event, for the end of a stream. */
  readonly remainder: () => Buffer | undefined;
};

const readId = (event: string): string | undefined => /^id:[ ]?(.*)$/m.exec(event)?.[1]?.trim();

/** Whether an event has fields other than comments and retry. */
const hasContent = (event: string): boolean => /^(?!:|retry:|[\r\n]).+/m.test(event);

/** Compares numeric ids by order; other ids only by equality. */
const isAfter = (id: string, last: string): boolean => {
  const [a, b] = [Number(id), Number(last)];
  return Number.isFinite(a) && Number.isFinite(b) ? a > b : id !== last;
};

const findEventEnd = (bytes: Buffer, from: number): number => {
  const lf = bytes.indexOf('\n\n', from, 'latin1');
  const crlf = bytes.indexOf('\r\n\r\n', from, 'latin1');
  if (lf < 0 && crlf < 0) return -1;
  return crlf < 0 || (lf >= 0 && lf < crlf) ? lf + 2 : crlf + 4;
};

/** Creates event splitters. */
export const EventSplitter = {
  /** `first` is the id of the last event that the client already has. */
  of(first?: string): EventSplitter {
    let buffered: Buffer = Buffer.alloc(0);
    let last = first;
    let canResume = true;
    return {
      lastId: () => last,
      canResume: () => canResume,
      reset() {
        buffered = Buffer.alloc(0);
      },
      remainder: () => (buffered.length > 0 ? buffered : undefined),
      push(chunk) {
        buffered = buffered.length > 0 ? Buffer.concat([buffered, chunk]) : chunk;
        const whole: Buffer[] = [];
        let start = 0;
        for (let end = findEventEnd(buffered, start); end >= 0; end = findEventEnd(buffered, start)) {
          const event = buffered.subarray(start, end);
          start = end;
          const text = event.toString('utf8');
          const id = readId(text);
          if (id !== undefined && last !== undefined && !isAfter(id, last)) continue;
          if (id !== undefined) last = id;
          if (id !== undefined || hasContent(text)) canResume = id !== undefined;
          whole.push(event);
        }
        buffered = buffered.subarray(start);
        return whole.length === 0 ? undefined : whole.length === 1 ? whole[0] : Buffer.concat(whole);
      },
    };
  },
};
