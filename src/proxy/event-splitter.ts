// Whole events out of the bytes of an event stream. Only whole events are let through, so that a stream that
// breaks in the middle of one can be taken up after the last that the caller has; events that the caller has
// already are left out. After an event that has content and no id nobody can tell where to go on.
export type EventSplitter = {
  readonly push: (chunk: Buffer) => Buffer | undefined;
  readonly lastId: () => string | undefined;
  readonly canResume: () => boolean;
  readonly reset: () => void;
  readonly remainder: () => Buffer | undefined;
};

const idOf = (event: string): string | undefined => /^id:[ ]?(.*)$/m.exec(event)?.[1]?.trim();

const hasContent = (event: string): boolean => /^(?!:|retry:|[\r\n]).+/m.test(event);

const isAfter = (id: string, last: string): boolean => {
  const [a, b] = [Number(id), Number(last)];
  return Number.isFinite(a) && Number.isFinite(b) ? a > b : id !== last;
};

const endOf = (bytes: Buffer, from: number): number => {
  const plain = bytes.indexOf('\n\n', from, 'latin1');
  const carriage = bytes.indexOf('\r\n\r\n', from, 'latin1');
  if (plain < 0 && carriage < 0) return -1;
  return carriage < 0 || (plain >= 0 && plain < carriage) ? plain + 2 : carriage + 4;
};

export const EventSplitter = {
  of(first?: string): EventSplitter {
    let held: Buffer = Buffer.alloc(0);
    let last = first;
    let canResume = true;
    return {
      lastId: () => last,
      canResume: () => canResume,
      reset() {
        held = Buffer.alloc(0);
      },
      remainder: () => (held.length > 0 ? held : undefined),
      push(chunk) {
        held = held.length > 0 ? Buffer.concat([held, chunk]) : chunk;
        const whole: Buffer[] = [];
        let start = 0;
        for (let end = endOf(held, start); end >= 0; end = endOf(held, start)) {
          const event = held.subarray(start, end);
          start = end;
          const text = event.toString('utf8');
          const id = idOf(text);
          if (id !== undefined && last !== undefined && !isAfter(id, last)) continue;
          if (id !== undefined) last = id;
          if (id !== undefined || hasContent(text)) canResume = id !== undefined;
          whole.push(event);
        }
        held = held.subarray(start);
        return whole.length === 0 ? undefined : whole.length === 1 ? whole[0] : Buffer.concat(whole);
      },
    };
  },
};
