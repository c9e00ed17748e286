// What operators saw: every order with its tries and their outcomes, and every read. The judges look at nothing else,
// but for the disks.

/** One order, sent once or more, always unchanged. */
export type Order = {
  readonly id: string;
  /** The name under which a core keeps the order as taken. */
  readonly keptAs: string;
  readonly by: string;
  readonly base: number;
  readonly number: number;
  readonly body: string;
  readonly firstSentAt: number;
  readonly tries: Order.Try[];
  version: number | undefined;
  acknowledgedAt: number | undefined;
  refusedAt: number | undefined;
};

export declare namespace Order {
  type Outcome = 'taken' | 'refused' | 'not taken' | 'unknown';
  type Try = { readonly at: number; readonly to: string; outcome: Outcome; endedAt: number };
}

/** A version that an answer showed to be in place, with the content where the answer told it. */
export type Sighting = {
  readonly kind: 'acknowledgement' | 'refusal' | 'read';
  readonly by: string;
  readonly from: string;
  readonly version: number;
  readonly content: string | undefined;
  readonly askedAt: number;
  readonly at: number;
};

export type History = {
  readonly orders: Order[];
  readonly sightings: Sighting[];
  readonly see: (sighting: Sighting) => void;
  /** The highest version that any answer had shown before a time. */
  readonly highestBefore: (time: number) => number;
  /** The newest order acknowledged by a time. */
  readonly newest: (by?: number) => Order | undefined;
};

export const History = {
  of(onSight: (sighting: Sighting, highest: number) => void): History {
    const orders: Order[] = [];
    const sightings: Sighting[] = [];
    const highest: { at: number; version: number }[] = [];
    const highestBefore = (time: number): number => {
      let low = 0;
      let high = highest.length;
      while (low < high) {
        const middle = (low + high) >> 1;
        if (highest[middle]!.at < time) low = middle + 1;
        else high = middle;
      }
      return low === 0 ? 0 : highest[low - 1]!.version;
    };
    return {
      orders,
      sightings,
      highestBefore,
      see(sighting) {
        onSight(sighting, highestBefore(sighting.askedAt));
        sightings.push(sighting);
        const last = highest.at(-1)?.version ?? 0;
        if (sighting.version > last) highest.push({ at: sighting.at, version: sighting.version });
      },
      newest: (by = Number.POSITIVE_INFINITY) =>
        orders
          .filter(({ acknowledgedAt }) => acknowledgedAt !== undefined && acknowledgedAt <= by)
          .sort((a, b) => (b.version ?? 0) - (a.version ?? 0))[0],
    };
  },
};
