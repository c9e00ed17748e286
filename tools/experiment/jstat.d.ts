/** The few functions of jstat that experiments use; the library brings no types. */
declare module 'jstat' {
  const jstat: {
    readonly mean: (values: number[]) => number;
    readonly stdev: (values: number[], isSample: boolean) => number;
    readonly studentt: { readonly inv: (probability: number, freedom: number) => number };
  };
  export default jstat;
}
