Feature: A closed peer stops connecting, whatever it was doing

  # asyncio.wait_for of Python 3.11 drops a cancellation that arrives as what it waits for ends.
  Scenario: peers whose connections are refused are closed at each turn of the loop
    When 60 peers of an address that refuses connections are each closed one turn of the loop later
    Then none of them is connecting any more
