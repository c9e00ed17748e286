// Runs the work of a tool as a whole program: its number is the exit code, a mishap is told and exits 1.
export type Main = (work: Promise<number>) => void;

export const Main: Main = (work) => {
  work.then(
    (code) => process.exit(code),
    (error: unknown) => {
      process.stderr.write(`${error instanceof Error ? error.stack : String(error)}\n`);
      process.exit(1);
    },
  );
};
