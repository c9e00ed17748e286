// An answer of the control plane's HTTP interface.
export type Answer = {
  readonly status: 200 | 400 | 401 | 403 | 404 | 409 | 412 | 413 | 422 | 428 | 503;
  readonly body: object;
  readonly headers?: Readonly<Record<string, string>>;
};

export const Answer = {
  fail: (status: Answer['status'], code: string, text: string, more: object = {}): Answer => ({
    status,
    body: { error: { code, message: text, ...more } },
  }),
};
