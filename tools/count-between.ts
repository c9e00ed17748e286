// How many of a sorted list of moments lie from one moment to before another, by halving.
export const countBetween = (sorted: readonly number[], from: number, to: number): number => {
  const below = (at: number) => {
    let low = 0;
    let high = sorted.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (sorted[middle]! < at) low = middle + 1;
      else high = middle;
    }
    return low;
  };
  return below(to) - below(from);
};
