/** A finite state machine with an explicit table of allowed transitions. */

/** A current state and the only way to change it. */
export type StateMachine<S extends string> = {
  readonly state: S;
  /** Changes the state; throws on a transition that the table does not allow, since that is a defect. */
  readonly transitionTo: (next: S) => void;
  /** Whether the current state is one of these. */
  readonly is: (...states: S[]) => boolean;
};

/** Creates state machines. */
export const StateMachine = {
  /** Starts in the first state and calls `onTransition` after each change. */
  of<S extends string>(
    initial: S,
    transitions: Readonly<Record<S, readonly S[]>>,
    onTransition: (previous: S, to: S) => void = () => {},
  ): StateMachine<S> {
    let state = initial;
    return {
      get state() {
        return state;
      },
      is: (...states) => states.includes(state),
      transitionTo(next) {
        if (!transitions[state].includes(next))
          throw new Error(`transition from ${state} to ${next} is not allowed`);
        const previous = state;
        state = next;
        onTransition(previous, next);
      },
    };
  },
};
