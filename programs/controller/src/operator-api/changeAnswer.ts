import type { Finding } from '@pewterlanding/model';
import type { ChangeOutcome } from '../configuration/changeOutcome.js';

interface ChangeAnswer {
  readonly status: 200 | 409 | 422;
  readonly body: {
    readonly error?: string;
    /** The operator's number of the configuration in force now. */
    readonly revision: number;
    readonly findings?: readonly Finding[];
  };
}

/** The HTTP answer to a change: 409 where another configuration is in force, 422 where the change has findings. */
export function changeAnswer({ outcome, revision, findings }: ChangeOutcome): ChangeAnswer {
  switch (outcome) {
    case 'taken':
      return { status: 200, body: { revision } };
    case 'conflict':
      return { status: 409, body: { error: 'another configuration is in force', revision } };
    case 'invalid':
      return { status: 422, body: { error: 'the change has findings', revision, findings: findings.map(withPresentPlace) } };
  }
}

/** Members of mixed versions must give the same findings, so the shard still calls the revision's place `mark`. */
function withPresentPlace({ place, message }: Finding): Finding {
  return { place: place === 'mark' ? 'revision' : place, message };
}
