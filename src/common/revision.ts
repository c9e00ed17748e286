// A revision counts acknowledged changes of the system's own state. It only ever grows, so two of
// them can be ordered by number alone within one epoch.
export type Revision = number & { readonly kind: 'revision' };

export const Revision = {
  none: 0 as Revision,
  of: (value: number): Revision => value as Revision,
  after: (revision: Revision): Revision => (revision + 1) as Revision,
  parse: (text: string): Revision | undefined =>
    /^\d{1,15}$/.test(text) ? (Number(text) as Revision) : undefined,
};
