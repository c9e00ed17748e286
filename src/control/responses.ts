// An answer of the control plane's HTTP interface. Bytes go out as they are, as JSON somebody else wrote.
export type Responses = {
  readonly status: 200 | 400 | 401 | 403 | 404 | 409 | 412 | 413 | 422 | 428 | 503;
  readonly body: object | Uint8Array<ArrayBuffer>;
  readonly headers?: Readonly<Record<string, string>>;
};

export const Responses = {
  fail: (status: Responses['status'], code: string, text: string, more: object = {}): Responses => ({
    status,
    body: { error: { code, message: text, ...more } },
  }),
  unconfirmed: (code: string, text: string, taken: string): Responses => ({
    ...Responses.fail(503, code, text, { taken }),
    headers: { 'retry-after': '1' },
  }),
};
