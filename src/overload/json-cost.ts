/**
 * Estimates the memory that parsed JSON takes. A text of many small values takes twenty times its length and more, so its length
 * alone does not bound what parsing it costs.
 */
/** Bytes that a value takes, beside those of its text. */
const valueBytes = 64;
const [quote, backslash, comma, colon, brace, bracket] = [0x22, 0x5c, 0x2c, 0x3a, 0x7b, 0x5b];

/** The estimated bytes of the parsed text. */
export type JsonCost = (text: Uint8Array) => number;

/** The index behind the string that begins at `start`. */
const skipString = (text: Uint8Array, start: number): number => {
  let index = start + 1;
  while (index < text.length && text[index] !== quote) index += text[index] === backslash ? 2 : 1;
  return index + 1;
};

/** Estimates the bytes; the text need not be valid. */
export const JsonCost: JsonCost = (text) => {
  let values = 1;
  let index = 0;
  while (index < text.length) {
    const byte = text[index];
    if (byte === quote) {
      index = skipString(text, index);
      continue;
    }
    if (byte === comma || byte === colon || byte === brace || byte === bracket) values += 1;
    index += 1;
  }
  return text.length + values * valueBytes;
};
