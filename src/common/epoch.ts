/** Epochs of the replicated state, as a branded number. */

/**
 * Numbers the terms of primaries. A node that has promised an epoch rejects every message with a lower one.
 */
export type Epoch = number & { readonly kind: 'epoch' };

/** Creates and increments epochs. */
export const Epoch = {
  none: 0 as Epoch,
  of: (value: number): Epoch => value as Epoch,
  after: (epoch: Epoch): Epoch => (epoch + 1) as Epoch,
};
