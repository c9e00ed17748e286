/** Revisions of the replicated state, as a branded number. */

/** Counts the acknowledged changes of the replicated state. It only grows, which orders revisions within one epoch. */
export type Revision = number & { readonly kind: 'revision' };

/** Creates, increments and parses revisions. */
export const Revision = {
  none: 0 as Revision,
  of: (value: number): Revision => value as Revision,
  after: (revision: Revision): Revision => (revision + 1) as Revision,
  parse: (text: string): Revision | undefined =>
    /^\d{1,15}$/.test(text) ? (Number(text) as Revision) : undefined,
};
