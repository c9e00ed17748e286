// What the servers and the clients of a case saw, and the judges over it. Each request and each answer carries its
// mark, so that the judges need to know nothing of how the proxy works.
import type { Case } from './cases.js';
import type { RawHttp } from './raw-http.js';

export type Book = {
  readonly way: Case.Way;
  readonly asked: Map<string, Book.Asked>;
  readonly arrivals: Book.Arrival[];
};

export declare namespace Book {
  type Asked = {
    readonly mark: string;
    readonly runs: 'once' | 'safe';
    readonly method: string;
    readonly target: string;
    readonly body: string;
    isSent: boolean;
    hasLeft: boolean;
    answer: RawHttp.Answer | undefined;
  };
  type Arrival = {
    readonly mark: string;
    readonly method: string;
    readonly target: string;
    readonly body: string;
    /** Whether the server worked on it: all but what it declined as not run. */
    hasRun: boolean;
    /** The bodies that it wrote, or meant to write, as its answer with success. */
    readonly bodies: string[];
    /** What the server did with it. */
    readonly act: string;
    readonly statuses: number[];
  };
  type Violation = { readonly judge: string; readonly text: string };
}

const doneWith = (arrivals: readonly Book.Arrival[]): string => arrivals.map(({ act }) => act).join();
const promises = new Set([408, 421, 429, 503]);
const ours = new Set([502, 503, 504]);

const judgeArrivals = ({ asked, arrivals }: Book, report: (judge: string, text: string) => void): void => {
  for (const { mark, method, target, body } of arrivals) {
    const one = asked.get(mark);
    if (!one) report('unasked', `${method} ${target} with the mark ${mark}`);
    else if (one.method !== method || one.target !== target || one.body !== body)
      report(
        'changed',
        `${mark}: ${method} ${target} and ${body.length} bytes for ${one.method} ${one.target}`,
      );
    else if (!one.isSent) report('unasked', `${mark}: its client had not sent all of it`);
  }
};

/** Whether an answer promises that the request did not run: on the platform its status, else a header of ours. */
const isPromise = (way: Case.Way, { status, headers }: RawHttp.Answer): boolean =>
  way === 'platform' ? promises.has(status) : headers['bramblebend-ran'] === 'no';

const judgeAnswer = (
  way: Case.Way,
  { mark, runs, answer }: Book.Asked & { readonly answer: RawHttp.Answer },
  arrivals: readonly Book.Arrival[],
  report: (judge: string, text: string) => void,
): void => {
  const { status, body, end } = answer;
  const hasRun = arrivals.some((one) => one.hasRun);
  if (runs === 'once' && isPromise(way, answer) && hasRun)
    report('refused', `${mark}: ${status}, and it ran`);
  if (end === 'closed') report('mixed', `${mark}: an answer without any framing`);
  if (status === 200 || status === 204) {
    const bodies = arrivals.flatMap((one) => one.bodies);
    const isOwn = bodies.some((own) => (end === 'whole' ? own === body : own.startsWith(body)));
    if (!isOwn)
      report('mixed', `${mark}: ${way}, ${doneWith(arrivals)}, ${end}, ${JSON.stringify(body.slice(0, 30))}`);
  } else if (status !== 0 && !ours.has(status) && !arrivals.some((one) => one.statuses.includes(status)))
    report('denied', `${mark}: ${status}`);
};

export const Book = {
  of: (way: Case.Way): Book => ({ way, asked: new Map(), arrivals: [] }),
  judge(book: Book): readonly Book.Violation[] {
    const violations: Book.Violation[] = [];
    const report = (judge: string, text: string) => void violations.push({ judge, text });
    judgeArrivals(book, report);
    for (const one of book.asked.values()) {
      const arrivals = book.arrivals.filter(({ mark }) => mark === one.mark);
      const ran = arrivals.filter(({ hasRun }) => hasRun).length;
      if (one.runs === 'once' && ran > 1) report('twice', `${one.mark}: ran ${ran} times`);
      if (one.answer) judgeAnswer(book.way, { ...one, answer: one.answer }, arrivals, report);
      else if (!one.hasLeft) report('held', `${one.mark}: neither answer nor end`);
    }
    return violations;
  },
};
