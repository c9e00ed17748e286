// The states that were seen, by a hash of 64 bits, in typed arrays outside the heap: 16 bytes a state and its place
// in the table. Two states of one hash would be taken for one; at ten million the chance of any is 3 in a million.

/** A set of hashed states in the order of their finding, each with the one it came from. */
export type Seen = {
  readonly size: () => number;
  /** The number of the state, or -1 when it was seen before. */
  readonly add: (bytes: Uint8Array, parent: number) => number;
  readonly parentOf: (state: number) => number;
  readonly isSame: (state: number, bytes: Uint8Array) => boolean;
};

const firstSeed = 0x9e3779b1;
const secondSeed = 0x85ebca77;

const mix = (hash: number): number => {
  let mixed = Math.imul(hash ^ (hash >>> 16), 0x7feb352d);
  mixed = Math.imul(mixed ^ (mixed >>> 15), 0x846ca68b);
  return (mixed ^ (mixed >>> 16)) >>> 0;
};

const hashed = { low: 0, high: 0 };

const hash = (bytes: Uint8Array): void => {
  let low = firstSeed ^ bytes.length;
  let high = secondSeed;
  for (const byte of bytes) {
    low = Math.imul(low ^ byte, 0x01000193);
    high = Math.imul((high << 5) ^ (high >>> 27) ^ byte, 0x27d4eb2f);
  }
  hashed.low = mix(low ^ (high >>> 7));
  hashed.high = mix(high);
};

export const Seen = {
  of(most: number): Seen {
    const slots = 2 ** Math.ceil(Math.log2(most * 1.6));
    const table = new Uint32Array(slots);
    const lows = new Uint32Array(most + 1);
    const highs = new Uint32Array(most + 1);
    const parents = new Int32Array(most + 1);
    let size = 0;
    return {
      size: () => size,
      add(bytes, parent) {
        hash(bytes);
        let slot = hashed.low & (slots - 1);
        for (let found = table[slot]!; found !== 0; found = table[slot]!) {
          if (lows[found - 1] === hashed.low && highs[found - 1] === hashed.high) return -1;
          slot = (slot + 1) & (slots - 1);
        }
        if (size >= most) throw new Error('more states than the table was made for');
        lows[size] = hashed.low;
        highs[size] = hashed.high;
        parents[size] = parent;
        size += 1;
        table[slot] = size;
        return size - 1;
      },
      parentOf: (state) => parents[state]!,
      isSame(state, bytes) {
        hash(bytes);
        return lows[state] === hashed.low && highs[state] === hashed.high;
      },
    };
  },
};
