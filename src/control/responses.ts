// An answer of the control plane's HTTP interface.
export type Responses = {
  readonly status: 200 | 400 | 401 | 403 | 404 | 409 | 412 | 413 | 422 | 428 | 503;
  readonly body: object;
  readonly headers?: Readonly<Record<string, string>>;
};

export const Responses = {
  fail: (status: Responses['status'], code: string, text: string, more: object = {}): Responses => ({
    status,
    body: { error: { code, message: text, ...more } },
  }),
};
