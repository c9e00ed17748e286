/**
 * Finds where the events of an event stream end, as its bytes arrive in pieces of any size. An event ends with an empty line; lines
 * end with LF, CRLF or CR.
 */
/** Scans one event stream. */
export type EventScanner = {
  /** Scans the next bytes; returns the offsets in them right after each empty line. */
  readonly scan: (chunk: Buffer) => readonly number[];
  /** Whether the bytes so far end between two events. Whole comment lines belong to no event. */
  readonly isBetweenEvents: () => boolean;
  /** How many events have ended. */
  readonly eventCount: () => number;
};

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const colon = 0x3a;

class Scanner implements EventScanner {
  private isLineEmpty = true;
  private isComment = false;
  /** Whether the event at hand has a line that is no comment. */
  private hasField = false;
  private followsCarriageReturn = false;
  private events = 0;

  readonly isBetweenEvents = (): boolean => this.isLineEmpty && !this.hasField;
  readonly eventCount = (): number => this.events;

  readonly scan = (chunk: Buffer): readonly number[] => {
    const ends: number[] = [];
    for (let index = 0; index < chunk.length; index += 1) {
      const byte = chunk[index]!;
      if (byte === lineFeed && this.followsCarriageReturn) {
        this.followsCarriageReturn = false;
        // The second half of a line end belongs to the event that it ends.
        if (ends.at(-1) === index) ends[ends.length - 1] = index + 1;
        continue;
      }
      this.followsCarriageReturn = byte === carriageReturn;
      if (byte !== lineFeed && byte !== carriageReturn) this.continueLine(byte);
      else if (this.endLine()) ends.push(index + 1);
    }
    return ends;
  };

  private continueLine(byte: number): void {
    if (!this.isLineEmpty) return;
    this.isLineEmpty = false;
    this.isComment = byte === colon;
  }

  /** Ends the line at hand; returns whether it was empty. */
  private endLine(): boolean {
    const isEmpty = this.isLineEmpty;
    this.isLineEmpty = true;
    if (!isEmpty) {
      if (!this.isComment) this.hasField = true;
      return false;
    }
    if (this.hasField) this.events += 1;
    this.hasField = false;
    return true;
  }
}

/** Creates scanners. */
export const EventScanner = {
  of: (): EventScanner => new Scanner(),
};
