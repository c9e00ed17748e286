// An explicit state with one function for every change of it. The table names the allowed changes; a
// change that is not in it is a defect and throws, so that no state is ever slid into by accident.
export type StateMachine<S extends string> = {
  readonly state: S;
  readonly transitionTo: (next: S) => void;
  readonly is: (...states: S[]) => boolean;
};

export const StateMachine = {
  of<S extends string>(
    first: S,
    changes: Readonly<Record<S, readonly S[]>>,
    note: (from: S, to: S) => void = () => {},
  ): StateMachine<S> {
    let state = first;
    return {
      get state() {
        return state;
      },
      is: (...states) => states.includes(state),
      transitionTo(next) {
        if (!changes[state].includes(next)) throw new Error(`no change from ${state} to ${next}`);
        const from = state;
        state = next;
        note(from, next);
      },
    };
  },
};
