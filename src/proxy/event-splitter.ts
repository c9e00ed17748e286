/**
 * Splits an event stream into complete events. Only complete events are passed on, so that a stream that breaks inside an
 * event can be resumed after the last one that the client received; events that the client already has are left out. After
 * an event that has content but no id, the position in the stream is unknown and it cannot be resumed.
 */
import { EventScanner } from '../common/event-scanner.js';

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

const join = (first: Buffer, second: Buffer): Buffer =>
  first.length === 0 ? second : Buffer.concat([first, second]);

/** Creates event splitters. */
export const EventSplitter = {
  /** `first` is the id of the last event that the client already has. */
  of(first?: string): EventSplitter {
    let scanner = EventScanner.of();
    /** The beginning of an event whose end has not arrived. */
    let pending: Buffer = Buffer.alloc(0);
    let last = first;
    let canResume = true;
    /** Whether the client does not have the event yet; notes its id. */
    const isNew = (event: Buffer): boolean => {
      const text = event.toString('utf8');
      const id = readId(text);
      if (id !== undefined && last !== undefined && !isAfter(id, last)) return false;
      if (id !== undefined) last = id;
      if (id !== undefined || hasContent(text)) canResume = id !== undefined;
      return true;
    };
    return {
      lastId: () => last,
      canResume: () => canResume,
      reset() {
        scanner = EventScanner.of();
        pending = Buffer.alloc(0);
      },
      remainder: () => (pending.length > 0 ? pending : undefined),
      push(chunk) {
        const whole: Buffer[] = [];
        let start = 0;
        for (const end of scanner.scan(chunk)) {
          const event = join(pending, chunk.subarray(start, end));
          pending = Buffer.alloc(0);
          start = end;
          if (isNew(event)) whole.push(event);
        }
        pending = join(pending, chunk.subarray(start));
        return whole.length <= 1 ? whole[0] : Buffer.concat(whole);
      },
    };
  },
};
