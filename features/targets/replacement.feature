Feature: Groups are replaced when the configuration changes the models

  The fleet of a domain is led in simulated time. A change is MODEL=SIZE, with the seconds at which it
  is put in force; "@ 0.5 elect" elects another leader.

  # Guards against groups of a former size that were never closed: no order ended the work of a group
  # that retires, so its servers never became free, and no group took its place.
  Scenario Outline: <case>
    Given a led fleet of "<model>" with the groups "<groups>" and the free engines "<free>"
    When the configuration changes "<changes>", while heads work for <work> s
    Then no request is sent to a group of a former size later than 2 s after a change
    And the model "<last>" is without a group for <gap> s at most, and in force after <time> s
    And the heads' work is finished

    Examples: the size is changed, and some group serves all the time
      | case                                     | model | groups              | free     | changes              | last | work | gap | time |
      | a larger size, with free engines         | m=2   | n1n2 n3n4           | n5 n6    | @ 0 m=3              | m=3  | 0    | 0   | 2    |
      | a larger size, with enough free engines  | m=2   | n1n2                | n3 n4 n5 | @ 0 m=3              | m=3  | 0    | 0   | 2    |
      | a smaller size                           | m=3   | n1n2n3              | n4 n5 n6 | @ 0 m=2              | m=2  | 0    | 0   | 2    |
      | a smaller size, without free engines     | m=3   | n1n2n3 n4n5n6       |          | @ 0 m=2              | m=2  | 0    | 0   | 2    |
      | a size of one                            | m=2   | n1n2 n3n4           |          | @ 0 m=1              | m=1  | 0    | 0   | 2    |
      | a smaller size while heads work          | m=3   | n1n2n3              | n4 n5 n6 | @ 0 m=2              | m=2  | 6    | 0   | 2    |
      | back before the first group is closed    | m=2   | n1n2 n3n4           | n5 n6    | @ 0 m=3 @ 0.1 m=2    | m=2  | 0    | 0   | 1    |
      | back while the first group is replaced   | m=2   | n1n2 n3n4           | n5 n6    | @ 0 m=3 @ 0.5 m=2    | m=2  | 0    | 0   | 2    |
      | back when the new size is in force       | m=2   | n1n2 n3n4           | n5 n6    | @ 0 m=3 @ 4 m=2      | m=2  | 0    | 0   | 2    |
      | another leader before the first is closed | m=2  | n1n2 n3n4 n5n6      | n7 n8    | @ 0 m=3 @ 0.1 elect  | m=3  | 0    | 1   | 2    |
      | another leader halfway                   | m=2   | n1n2 n3n4           | n5 n6    | @ 0 m=3 @ 0.6 elect  | m=3  | 0    | 1   | 2    |

    Examples: no group of the new size can be formed while former ones may serve
      | case                                     | model | groups              | free     | changes              | last | work | gap | time |
      | a larger size, too few free engines      | m=2   | n1n2                | n3       | @ 0 m=3              | m=3  | 0    | 1   | 2    |
      | a larger size while all heads work       | m=2   | n1n2 n3n4           |          | @ 0 m=3              | m=3  | 6    | 6   | 7    |
      | a smaller size while the only head works | m=3   | n1n2n3              |          | @ 0 m=2              | m=2  | 6    | 7   | 7    |
      | two changes in a row                     | m=2   | n1n2 n3n4           | n5 n6    | @ 0 m=3 @ 0.5 m=4    | m=4  | 0    | 1   | 2    |
      | too few engines, and back                | m=2   | n1n2                |          | @ 0 m=3 @ 5 m=2      | m=2  | 0    | 5   | 2    |
      | all free engines lack one, and back      | m=2   | n1n2 n3n4           |          | @ 0 m=5 @ 5 m=2      | m=2  | 0    | 5   | 2    |

    Examples: a model is replaced by one that engines load in 1 s
      | case                                     | model | groups              | free     | changes              | last | work | gap | time |
      | by another one                           | m=2   | n1n2 n3n4           | n5 n6    | @ 0 k=2              | k=2  | 0    | 3   | 3    |
      | by another one without free engines      | m=2   | n1n2                |          | @ 0 k=2              | k=2  | 0    | 3   | 3    |
      | by one of another size                   | m=2   | n1n2 n3n4           |          | @ 0 k=4              | k=4  | 0    | 3   | 3    |
      | while heads work                         | m=2   | n1n2 n3n4           |          | @ 0 k=2              | k=2  | 4    | 7   | 7    |
      | and put back                             | m=2   | n1n2 n3n4           | n5 n6    | @ 0 k=2 @ 0.5 m=2    | m=2  | 0    | 1   | 2    |
      | and put back when the other one serves   | m=2   | n1n2 n3n4           | n5 n6    | @ 0 k=2 @ 8 m=2      | m=2  | 0    | 12  | 4    |
      | with another leader halfway              | m=2   | n1n2 n3n4           |          | @ 0 k=2 @ 0.5 elect  | k=2  | 0    | 4   | 4    |
      | one model is added                       | m=2   | n1n2                | n3 n4    | @ 0 m=2,k=2          | m=2  | 0    | 0   | 1    |
      | one of two models is taken out           | m=2   | n1n2 n3n4           |          | @ 0 m=2,k=2 @ 9 k=2  | k=2  | 0    | 99  | 3    |
