// An epoch numbers the terms of primaries. Whoever has promised an epoch drops everything that
// comes from below it.
export type Epoch = number & { readonly kind: 'epoch' };

export const Epoch = {
  none: 0 as Epoch,
  of: (value: number): Epoch => value as Epoch,
  after: (epoch: Epoch): Epoch => (epoch + 1) as Epoch,
};
