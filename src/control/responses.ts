/** Responses of the control plane's HTTP API. A body of bytes is sent unchanged; it is JSON that was encoded elsewhere. */

/** A response: its status, JSON body and further headers. */
export type Responses = {
  readonly status: 200 | 400 | 401 | 403 | 404 | 408 | 409 | 412 | 413 | 422 | 428 | 503;
  readonly body: object | Uint8Array<ArrayBuffer>;
  readonly headers?: Readonly<Record<string, string>>;
};

/** Builds error responses. */
export const Responses = {
  /** An error with a code for programs and a message for people. */
  fail: (status: Responses['status'], code: string, text: string, more: object = {}): Responses => ({
    status,
    body: { error: { code, message: text, ...more } },
  }),
  /** A 503 that says whether the change was taken: `no`, or `unknown` if it may have been. */
  unconfirmed: (code: string, text: string, taken: string): Responses => ({
    ...Responses.fail(503, code, text, { taken }),
    headers: { 'retry-after': '1' },
  }),
};
