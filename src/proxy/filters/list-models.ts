/** List-models filter: answers with the models that the rules of a team name, in the format of OpenAI. */
import type { Call } from '../call.js';
import type { Filter } from '../filter.js';
import { Responses } from '../responses.js';

/** The endpoint of the model list. */
export type ListModels = { readonly path: string };

const path = '/v1/models';

const modelsOf = ({ compiled, team }: Call): Set<string> =>
  new Set(
    (compiled?.rules ?? [])
      .filter((rule) => rule.teams === undefined || (team !== undefined && rule.teams.includes(team.name)))
      .flatMap((rule) => rule.match.models ?? []),
  );

/** Creates the filter that answers the model list. */
export const ListModels = {
  path,
  filter: (): Filter => (call) => {
    if (call.path !== path || call.method !== 'GET' || !call.compiled || !call.team) return 'next';
    return Responses.json(
      call,
      200,
      { 'bramblebend-request-id': call.id },
      {
        object: 'list',
        data: [...modelsOf(call)].map((id) => ({ id, object: 'model', created: 0, owned_by: 'bramblebend' })),
      },
    );
  },
};
