Feature: An error is no part of an answer that has begun

  # Guards against the text of an engine's error among the tokens of a stream.
  Scenario Outline: an engine answers a completion with <status> and a body that looks like a stream
    Given an engine that answers completions with <status>
    When an agent runs a completion on it
    Then it gets <tokens> tokens, and the completion <result>

    Examples:
      | status | tokens | result    |
      | 200    | 2      | succeeded |
      | 404    | 0      | failed    |
      | 500    | 0      | failed    |
      | 503    | 0      | failed    |

  # Guards against a stream that ends as if it were complete.
  Scenario Outline: an entry's handler fails <when>
    Given an interface of an entry whose handler fails <when>
    When a caller asks it
    Then it gets <answer>

    Examples:
      | when                                 | answer                        |
      | before its answer                    | 500 and a problem             |
      | after a part of its answer           | that part and no end          |
      | with an HTTP error after such a part | that part and no end          |
