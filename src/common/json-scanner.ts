/** Tells whether JSON text that arrives in pieces ends inside an object or an array. It checks nothing else. */
/** Scans one text. */
export type JsonScanner = {
  readonly scan: (chunk: Buffer) => void;
  /** Whether an object or an array has begun that has not ended. */
  readonly isInsideValue: () => boolean;
  /** Whether there was nothing but white space. */
  readonly isEmpty: () => boolean;
};

const code = (character: string): number => character.charCodeAt(0);
const quote = code('"');
const backslash = code('\\');
const opening = new Set(['{', '['].map(code));
const closing = new Set(['}', ']'].map(code));
const whiteSpace = new Set([' ', '\t', '\r', '\n'].map(code));

class Scanner implements JsonScanner {
  private depth = 0;
  private isInString = false;
  private isEscaped = false;
  /** Whether the text begins as an object or an array does; undefined before its first character. */
  private isStructured: boolean | undefined;

  readonly isInsideValue = (): boolean => this.depth > 0;
  readonly isEmpty = (): boolean => this.isStructured === undefined;

  readonly scan = (chunk: Buffer): void => {
    for (const byte of chunk) {
      if (this.isStructured === undefined && !whiteSpace.has(byte)) this.isStructured = opening.has(byte);
      if (this.isStructured === false) return;
      this.read(byte);
    }
  };

  private read(byte: number): void {
    if (this.isInString) this.readInString(byte);
    else if (byte === quote) this.isInString = true;
    else if (opening.has(byte)) this.depth += 1;
    else if (closing.has(byte)) this.depth -= 1;
  }

  private readInString(byte: number): void {
    if (this.isEscaped) this.isEscaped = false;
    else if (byte === backslash) this.isEscaped = true;
    else if (byte === quote) this.isInString = false;
  }
}

/** Creates scanners. */
export const JsonScanner = {
  of: (): JsonScanner => new Scanner(),
};
