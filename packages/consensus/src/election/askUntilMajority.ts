import type { GroupMember } from '../group/index.js';

interface Answer<T> {
  readonly groupMember: GroupMember;
  readonly response: T;
}

interface Question<T> {
  readonly members: readonly GroupMember[];
  readonly ask: (groupMember: GroupMember) => Promise<T>;
  readonly agrees: (response: T) => boolean;
  /** How many members are a majority; the one that asks counts as one that agrees. */
  readonly majority: () => number;
}

/**
 * Asks all members at once, and resolves with the answers that came when a majority has agreed or none is awaited any more: a failed
 * leader must not delay the election of its successor. Failed calls are left out.
 */
export function askUntilMajority<T>({ members, ask, agrees, majority }: Question<T>): Promise<readonly Answer<T>[]> {
  return new Promise((resolve) => {
    const answers: Answer<T>[] = [];
    let pending = members.length;
    const resolveIfDecided = (): void => {
      const hasMajority = answers.filter(({ response }) => agrees(response)).length + 1 >= majority();
      if (pending === 0 || hasMajority) resolve([...answers]);
    };
    for (const groupMember of members)
      ask(groupMember)
        .then(
          (response) => answers.push({ groupMember, response }),
          () => undefined,
        )
        .finally(() => {
          pending -= 1;
          resolveIfDecided();
        })
        .catch(() => undefined);
    resolveIfDecided();
  });
}
